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

// storeService relays calls on the store for instances that cannot reach it.
type storeService struct{ gateway *Gateway }

// Call makes a call on the store for another instance.
func (s *storeService) Call(call objects.RelayCall, reply *objects.RelayReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), call.Wait+relayTimeout)
	defer cancel()
	*reply = s.gateway.store.Serve(ctx, call)
	return nil
}

// Reaches reports whether this instance can reach the store directly.
func (s *storeService) Reaches(_ struct{}, reaches *bool) error {
	*reaches = s.gateway.store.DirectAvailable()
	return nil
}

const (
	// relayTimeout bounds a relayed call beyond the wait of a watch.
	relayTimeout = 1300 * time.Millisecond
	// relaySearchTimeout bounds the search for an instance that can reach the store.
	relaySearchTimeout = 300 * time.Millisecond
	// maxRelayQueries bounds the instances that are queried in parallel by the search.
	maxRelayQueries = 8
)

var errNoRelay = errors.New("no other instance can reach the store")

// relay makes a call on the store through another instance. The second result is
// false if the call was certainly not executed.
func (g *Gateway) relay(ctx context.Context, call objects.RelayCall) (objects.RelayReply, bool, error) {
	relay := g.membership.currentRelay()
	if relay == "" {
		if relay = g.findRelay(ctx); relay == "" {
			return objects.RelayReply{}, false, errNoRelay
		}
		g.membership.setRelay(relay)
	}
	var reply objects.RelayReply
	callCtx, cancel := context.WithTimeout(ctx, call.Wait+relayTimeout)
	defer cancel()
	err := g.dialer.Call(callCtx, relay, "Store.Call", call, &reply)
	if err != nil || reply.Code == objects.RelayRefused && !reply.Rejected {
		g.membership.setRelay("") // the next call searches for another one
	}
	var serverErr rpc.ServerError
	sent := err == nil || !errors.As(err, &serverErr) && !errors.Is(err, syscall.ECONNREFUSED)
	return reply, sent, err
}

// findRelay returns the address of the first instance that reports within
// relaySearchTimeout that it can reach the store; empty if there is none.
func (g *Gateway) findRelay(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, relaySearchTimeout)
	defer cancel()
	peers := g.relayCandidates()
	peers = peers[:min(len(peers), maxRelayQueries)]
	found := make(chan string, len(peers))
	for _, peer := range peers {
		go func() {
			var reaches bool
			if g.dialer.Call(ctx, peer, "Store.Reaches", struct{}{}, &reaches) != nil || !reaches {
				peer = "" // failures are not logged one by one; relay reports when the search finds no instance
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

// relayCandidates returns the addresses of the instances that may relay calls: the
// registered instances, then the configured ones.
func (g *Gateway) relayCandidates() []string {
	seen := map[string]bool{g.settings.PeerListen: true}
	var peers []string
	for _, p := range append(g.membership.relayCandidates(), g.currentSettings.Load().Peers...) {
		if !seen[p] {
			seen[p] = true
			peers = append(peers, p)
		}
	}
	return peers
}

// storePathChanged logs whether the store is reached directly or through other
// instances.
func (g *Gateway) storePathChanged(direct bool, cause error) {
	if direct {
		g.log.Info("the store is reached directly again")
		return
	}
	g.outage.record(g.clock.Now(), cause)
	g.log.Warn("the store is not reached; other instances are asked", zap.Int("peers", len(g.relayCandidates())), telemetry.Error(cause))
}
