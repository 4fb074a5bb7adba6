package gateway

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/telemetry"
)

// storeCalls serves other instances that cannot reach the store.
type storeCalls struct{ gateway *Gateway }

// Call makes a call on the store.
func (s *storeCalls) Call(c objects.RelayCall, reply *objects.RelayReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait+relayTimeout)
	defer cancel()
	*reply = s.gateway.store.Serve(ctx, c)
	return nil
}

const (
	// relayTimeout bounds a relayed call beyond the wait of a watch.
	relayTimeout = 1300 * time.Millisecond
	// relayTries bounds the instances that are asked for one call.
	relayTries = 3
)

// relay asks other instances to make a call, the last one that could first.
func (g *Gateway) relay(ctx context.Context, c objects.RelayCall) (objects.RelayReply, bool, error) {
	err, sent := errors.New("no other instance is known"), false
	var last objects.RelayReply
	answered := false
	for n, peer := range g.relayPeers() {
		if n == relayTries || ctx.Err() != nil {
			break
		}
		var reply objects.RelayReply
		err = g.relayTo(ctx, peer, c, &reply)
		if err == nil {
			last, answered = reply, true
			if reply.Code != objects.RelayRefused {
				g.crew.helped(peer)
				return reply, true, nil
			}
			continue
		}
		var refused rpc.ServerError
		if !errors.As(err, &refused) && !errors.Is(err, syscall.ECONNREFUSED) && c.Verb != "get" && c.Verb != "list" && c.Verb != "watch" {
			return objects.RelayReply{}, true, err // a write may have got there
		}
	}
	if answered {
		return last, sent, nil
	}
	return objects.RelayReply{}, sent, err
}

func (g *Gateway) relayTo(ctx context.Context, peer string, c objects.RelayCall, reply *objects.RelayReply) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait+relayTimeout)
	defer cancel()
	return g.dialer.Call(ctx, peer, "Store.Call", c, reply)
}

// relayPeers returns the instances to ask, best first.
func (g *Gateway) relayPeers() []string {
	peers := append(g.crew.all(), g.settings.Peers...)
	slices.SortStableFunc(peers, func(a, b string) int { return g.crew.rank(a) - g.crew.rank(b) })
	seen := map[string]bool{g.settings.PeerListen: true}
	return slices.DeleteFunc(peers, func(p string) bool {
		known := seen[p]
		seen[p] = true
		return known
	})
}

// wayChanged logs how the store is reached.
func (g *Gateway) wayChanged(direct bool, cause error) {
	if direct {
		g.log.Info("the store is reached directly again")
		return
	}
	g.outage.note(g.clock.Now(), cause)
	g.log.Warn("the store is not reached; other instances are asked", zap.Int("peers", len(g.relayPeers())), telemetry.Error(cause))
}
