package gateway

import (
	"context"
	"errors"
	"net/rpc"
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

// Reaches tells whether this instance reaches the store.
func (s *storeCalls) Reaches(_ struct{}, reaches *bool) error {
	*reaches = s.gateway.store.DirectAvailable()
	return nil
}

const (
	// relayTimeout bounds a relayed call beyond the wait of a watch.
	relayTimeout = 1300 * time.Millisecond
	// findTimeout bounds the search for an instance that reaches the store.
	findTimeout = 300 * time.Millisecond
	// mostAsked bounds the instances that are asked at once whether they do.
	mostAsked = 8
)

var errNoRelay = errors.New("no other instance reaches the store")

// relay has another instance make a call.
func (g *Gateway) relay(ctx context.Context, c objects.RelayCall) (objects.RelayReply, bool, error) {
	helper := g.crew.helping()
	if helper == "" {
		if helper = g.findHelper(ctx); helper == "" {
			return objects.RelayReply{}, false, errNoRelay
		}
		g.crew.helped(helper)
	}
	var reply objects.RelayReply
	bounded, cancel := context.WithTimeout(ctx, c.Wait+relayTimeout)
	defer cancel()
	err := g.dialer.Call(bounded, helper, "Store.Call", c, &reply)
	if err != nil || reply.Code == objects.RelayRefused {
		g.crew.helped("") // another one is looked for with the next call
	}
	var refused rpc.ServerError
	sent := err == nil || !errors.As(err, &refused) && !errors.Is(err, syscall.ECONNREFUSED)
	return reply, sent, err
}

// findHelper returns the first instance to say that it reaches the store.
func (g *Gateway) findHelper(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	peers := g.relayPeers()
	peers = peers[:min(len(peers), mostAsked)]
	found := make(chan string, len(peers))
	for _, peer := range peers {
		go func() {
			var reaches bool
			if g.dialer.Call(ctx, peer, "Store.Reaches", struct{}{}, &reaches) != nil || !reaches {
				peer = "" // silence or a no; the search tells when it finds none
			}
			found <- peer
		}()
	}
	for range peers {
		select {
		case peer := <-found:
			if peer != "" {
				return peer
			}
		case <-ctx.Done():
			return ""
		}
	}
	return ""
}

// relayPeers returns the instances that may relay.
func (g *Gateway) relayPeers() []string {
	seen := map[string]bool{g.settings.PeerListen: true}
	var peers []string
	for _, p := range append(g.crew.all(), g.live.Load().Peers...) {
		if !seen[p] {
			seen[p] = true
			peers = append(peers, p)
		}
	}
	return peers
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
