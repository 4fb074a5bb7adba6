package objects

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/internal/fenced"
)

// ScaleWhile sends a scaling order unless check fails before it has left. The
// kernel drops what the platform has not acknowledged after lifetime, which is
// that of the first order. fenced.ErrNotSent and ErrConflict mean that the
// order was not taken.
func (c *Client) ScaleFenced(ctx context.Context, o ScaleOrder, lifetime time.Duration, check fenced.Check) error {
	return c.postWhile(ctx, callScale, o, lifetime, check)
}

// ReportUsageWhile sends a usage report unless check fails before it has left;
// otherwise it is as ScaleWhile.
func (c *Client) ReportUsageFenced(ctx context.Context, r UsageReport, lifetime time.Duration, check fenced.Check) error {
	return c.postWhile(ctx, callUsage, r, lifetime, check)
}

// postWhile posts value to the path that a call is named after.
func (c *Client) postWhile(ctx context.Context, what call, value any, lifetime time.Duration, check fenced.Check) error {
	err := c.guarded(ctx, what, func(ctx context.Context) error {
		r, err := c.base.New().Post(what.name).BodyJSON(value).Request()
		if err != nil {
			return err
		}
		answer, err := c.fencedSender(lifetime).Send(ctx, r, check)
		if err != nil {
			return err
		}
		defer fenced.Close(answer)
		return statusError(answer)
	})
	if err != nil {
		return oops.In("platform").With("step", what.name).Wrap(err)
	}
	return nil
}

// fencedSender returns the sender of orders, which is made at the first one.
func (c *Client) fencedSender(lifetime time.Duration) *fenced.Sender {
	c.senderOnce.Do(func() { c.sender = fenced.NewSender(lifetime) })
	return c.sender
}
