package gateway

import (
	"context"
	"errors"
	"net/rpc"
	"syscall"
	"time"

	"github.com/pomelocross/pomelocross/batch"
)

// Codes of answers between instances.
const (
	codeNotHere = "not_here"
	codeUnknown = "unknown"
	codeUnsure  = "unsure"
	codeMoving  = "moving"
)

// ReadReply is the answer to a read between instances.
type ReadReply struct {
	Page batch.Page
	Code string // empty when Page holds
}

// batchCalls serves other instances.
type batchCalls struct{ gateway *Gateway }

// Read returns results of a batch that runs here.
func (b *batchCalls) Read(args batch.ReadArgs, reply *ReadReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+time.Second)
	defer cancel()
	page, err := b.gateway.batches.ReadHere(ctx, args)
	reply.Page = page
	switch {
	case err == nil:
	case errors.Is(err, batch.ErrNotHere):
		reply.Code = codeNotHere
	case errors.Is(err, batch.ErrHandingOver):
		reply.Code = codeMoving
	case errors.Is(err, batch.ErrNotFound):
		reply.Code = codeUnknown
	default:
		reply.Code = codeUnsure
	}
	return nil
}

// SubmitReply is the answer to a batch that was handed in.
type SubmitReply struct {
	Head batch.Stored
	Code string // empty when the batch is accepted
}

// Submit stores and runs a batch. An error says that it is surely not accepted.
func (b *batchCalls) Submit(args batch.SubmitArgs, reply *SubmitReply) error {
	if b.gateway.draining.Load() {
		return errStops
	}
	h, err := b.gateway.batches.SubmitHere(context.Background(), args, b.gateway.wall.Now())
	if errors.Is(err, batch.ErrOutcomeUnknown) {
		reply.Code = codeUnsure
		return nil
	}
	reply.Head = h
	return err
}

var errStops = errors.New("this instance stops")

// Body returns the body of an item of a batch that runs here or has run.
func (b *batchCalls) Body(args batch.BodyArgs, reply *[]byte) error {
	body, ok := b.gateway.runner.Body(args.ID, args.Team, args.Item)
	if !ok {
		return batch.ErrNotHere
	}
	*reply = body
	return nil
}

// End notes that a batch's end is stored.
func (b *batchCalls) End(id string, _ *struct{}) error {
	b.gateway.runner.MarkEnded(id)
	return nil
}

// Adopt runs a batch that its owner gives away.
func (b *batchCalls) Adopt(id string, _ *struct{}) error {
	if b.gateway.draining.Load() {
		return errStops
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return b.gateway.batches.Adopt(ctx, id)
}

// peerCalls calls other instances. It implements batch.Peers.
type peerCalls struct{ gateway *Gateway }

// Read implements batch.Peers.
func (p *peerCalls) Read(ctx context.Context, peer string, args batch.ReadArgs) (batch.Page, error) {
	var reply ReadReply
	if err := p.gateway.dialer.Call(ctx, peer, "Batches.Read", args, &reply); err != nil {
		return batch.Page{}, err
	}
	switch reply.Code {
	case codeNotHere:
		return batch.Page{}, batch.ErrNotHere
	case codeUnknown:
		return batch.Page{}, batch.ErrNotFound
	case codeUnsure:
		return batch.Page{}, batch.ErrStateUnknown
	case codeMoving:
		return batch.Page{}, batch.ErrHandingOver
	}
	return reply.Page, nil
}

// Body implements batch.Peers.
func (p *peerCalls) Body(ctx context.Context, peer string, args batch.BodyArgs) ([]byte, error) {
	var body []byte
	err := p.gateway.dialer.Call(ctx, peer, "Batches.Body", args, &body)
	return body, err
}

// End implements batch.Peers.
func (p *peerCalls) End(ctx context.Context, peer, id string) error {
	return p.gateway.dialer.Call(ctx, peer, "Batches.End", id, &struct{}{})
}

// Adopt implements batch.Peers.
func (p *peerCalls) Adopt(ctx context.Context, peer, id string) error {
	return p.gateway.dialer.Call(ctx, peer, "Batches.Adopt", id, &struct{}{})
}

// Submit implements batch.Peers.
func (p *peerCalls) Submit(ctx context.Context, peer string, args batch.SubmitArgs) (batch.Stored, error) {
	var reply SubmitReply
	err := p.gateway.dialer.Call(ctx, peer, "Batches.Submit", args, &reply)
	var refused rpc.ServerError
	switch {
	case errors.As(err, &refused), errors.Is(err, syscall.ECONNREFUSED):
		return reply.Head, errors.Join(batch.ErrDeclined, err)
	case err != nil:
		return reply.Head, err
	case reply.Code == codeUnsure:
		return reply.Head, batch.ErrOutcomeUnknown
	}
	return reply.Head, nil
}

// Owners implements batch.Peers.
func (p *peerCalls) Owners(key string) []string { return p.gateway.crew.owners(key) }
