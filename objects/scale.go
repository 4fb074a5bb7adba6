package objects

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/internal/fenced"
)

// ScaleFenced sends a scaling order unless check fails before the order is sent
// completely. The kernel drops data that the platform has not acknowledged within
// lifetime; the lifetime of the first fenced call applies to all. fenced.ErrNotSent
// and ErrConflict mean that the platform did not accept the order.
func (c *Client) ScaleFenced(ctx context.Context, o ScaleOrder, lifetime time.Duration, check fenced.Check) error {
	return c.postFenced(ctx, callScale, o, lifetime, check)
}

// ReportUsageFenced sends a usage report under the same conditions as ScaleFenced.
func (c *Client) ReportUsageFenced(ctx context.Context, r UsageReport, lifetime time.Duration, check fenced.Check) error {
	return c.postFenced(ctx, callUsage, r, lifetime, check)
}

// postFenced posts value to the path given by the name of class.
func (c *Client) postFenced(ctx context.Context, class callClass, value any, lifetime time.Duration, check fenced.Check) error {
	err := c.sendGuarded(ctx, class, func(ctx context.Context) error {
		req, err := c.base.New().Post(class.name).BodyJSON(value).Request()
		if err != nil {
			return err
		}
		status, err := c.fencedSender(lifetime).Send(ctx, req, check)
		if err != nil {
			return err
		}
		return statusError(status)
	})
	if err != nil {
		return oops.In("platform").With("step", class.name).Wrap(err)
	}
	return nil
}

// fencedSender returns the sender for fenced calls, creating it on first use.
func (c *Client) fencedSender(lifetime time.Duration) *fenced.Sender {
	c.senderOnce.Do(func() { c.sender = fenced.NewSender(lifetime) })
	return c.sender
}
