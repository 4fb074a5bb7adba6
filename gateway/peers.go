package gateway

import (
	"context"
	"errors"
	"net/rpc"
	"syscall"
	"time"

	"github.com/pomelocross/pomelocross/batch"
)

// Codes of replies between instances, for errors of package batch.
const (
	codeNotHere       = "not_here"
	codeNotFound      = "unknown"
	codeIndeterminate = "unsure"
	codeHandingOver   = "moving"
)

// ReadReply is the reply to batchesService.Read.
type ReadReply struct {
	Page batch.Page
	Code string // empty if Page is valid
}

// batchesService serves calls of other instances on batches.
type batchesService struct{ gateway *Gateway }

// Read returns results of a batch that runs on this instance.
func (b *batchesService) Read(args batch.ReadArgs, reply *ReadReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+time.Second)
	defer cancel()
	page, err := b.gateway.batches.ReadHere(ctx, args)
	reply.Page = page
	switch {
	case err == nil:
	case errors.Is(err, batch.ErrNotHere):
		reply.Code = codeNotHere
	case errors.Is(err, batch.ErrHandingOver):
		reply.Code = codeHandingOver
	case errors.Is(err, batch.ErrNotFound):
		reply.Code = codeNotFound
	default:
		reply.Code = codeIndeterminate
	}
	return nil
}

// SubmitReply is the reply to batchesService.Submit.
type SubmitReply struct {
	Head batch.Stored
	Code string // empty if the batch is accepted
}

// declineReasons are the reasons for declining a batch that the caller of Submit gets to know.
var declineReasons = []error{batch.ErrNoRoom, batch.ErrTooLarge}

// Submit stores and runs a batch. An error means that the batch is definitely not
// accepted.
func (b *batchesService) Submit(args batch.SubmitArgs, reply *SubmitReply) error {
	if b.gateway.draining.Load() {
		return errStopping
	}
	h, err := b.gateway.batches.SubmitHere(context.Background(), args, b.gateway.wall.Now())
	if errors.Is(err, batch.ErrOutcomeUnknown) {
		reply.Code = codeIndeterminate
		return nil
	}
	for _, reason := range declineReasons {
		if errors.Is(err, reason) {
			return reason // without context: the caller compares its text
		}
	}
	reply.Head = h
	return err
}

// Body returns the body of an item of a batch that runs or has run on this instance.
func (b *batchesService) Body(args batch.BodyArgs, reply *[]byte) error {
	body, ok := b.gateway.runner.Body(args.ID, args.Team, args.Item)
	if !ok {
		return batch.ErrNotHere
	}
	*reply = body
	return nil
}

// End tells the runner that the end of a batch has been stored.
func (b *batchesService) End(id string, _ *struct{}) error {
	b.gateway.runner.MarkEnded(id)
	return nil
}

// Adopt runs a batch that its owner hands over.
func (b *batchesService) Adopt(id string, _ *struct{}) error {
	if b.gateway.draining.Load() {
		return errStopping
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return b.gateway.batches.Adopt(ctx, id)
}

// peerClient calls other instances. It implements batch.Peers.
type peerClient struct{ gateway *Gateway }

// Read implements batch.Peers.
func (p *peerClient) Read(ctx context.Context, peer string, args batch.ReadArgs) (batch.Page, error) {
	var reply ReadReply
	if err := p.gateway.dialer.Call(ctx, peer, "Batches.Read", args, &reply); err != nil {
		return batch.Page{}, err
	}
	switch reply.Code {
	case codeNotHere:
		return batch.Page{}, batch.ErrNotHere
	case codeNotFound:
		return batch.Page{}, batch.ErrNotFound
	case codeIndeterminate:
		return batch.Page{}, batch.ErrStateUnknown
	case codeHandingOver:
		return batch.Page{}, batch.ErrHandingOver
	}
	return reply.Page, nil
}

// Body implements batch.Peers.
func (p *peerClient) Body(ctx context.Context, peer string, args batch.BodyArgs) ([]byte, error) {
	var body []byte
	err := p.gateway.dialer.Call(ctx, peer, "Batches.Body", args, &body)
	return body, err
}

// End implements batch.Peers.
func (p *peerClient) End(ctx context.Context, peer, id string) error {
	return p.gateway.dialer.Call(ctx, peer, "Batches.End", id, &struct{}{})
}

// Adopt implements batch.Peers.
func (p *peerClient) Adopt(ctx context.Context, peer, id string) error {
	return p.gateway.dialer.Call(ctx, peer, "Batches.Adopt", id, &struct{}{})
}

// Submit implements batch.Peers. It returns batch.ErrDeclined if the peer has
// definitely not accepted the batch, joined with the reason if that is one of declineReasons.
func (p *peerClient) Submit(ctx context.Context, peer string, args batch.SubmitArgs) (batch.Stored, error) {
	var reply SubmitReply
	err := p.gateway.dialer.Call(ctx, peer, "Batches.Submit", args, &reply)
	return reply.Head, submitError(reply, err)
}

// submitError returns the error of a submission to a peer.
func submitError(reply SubmitReply, err error) error {
	var serverErr rpc.ServerError
	declined := errors.As(err, &serverErr)
	for _, reason := range declineReasons {
		if declined && serverErr.Error() == reason.Error() {
			return errors.Join(batch.ErrDeclined, reason)
		}
	}
	switch {
	case declined, errors.Is(err, syscall.ECONNREFUSED):
		return errors.Join(batch.ErrDeclined, err)
	case err != nil:
		return err
	case reply.Code == codeIndeterminate:
		return batch.ErrOutcomeUnknown
	}
	return nil
}

// Owners implements batch.Peers.
func (p *peerClient) Owners(key string) []string { return p.gateway.membership.batchOwners(key) }
