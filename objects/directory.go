package objects

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// memberCache holds the last instance list for conditional requests, so that an
// unchanged list is not sent again: at the target fleet size it has about 150 KB and
// changes a few hundred times a day.
type memberCache struct {
	mu      sync.Mutex // guards the fields below
	tag     string     // ETag of members; empty if the platform sent none
	members []Member
}

// Members implements Directory. It transfers the list only if it has changed since the
// last call.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	tag, cached := c.memberList.get()
	var members []Member
	err := c.sendGuarded(ctx, callMembers, func(ctx context.Context) error {
		resp, err := c.roundTrip(ctx, callTimeout, c.base.New().Get("instances").Set("If-None-Match", tag))
		if err != nil {
			return err
		}
		if resp.status == http.StatusNotModified {
			members = cached
			return nil
		}
		if err := json.Unmarshal(resp.body, &members); err != nil {
			return err
		}
		c.memberList.put(resp.header.Get("ETag"), members)
		return nil
	})
	return slices.Clone(members), wrapError(callMembers, err)
}

func (m *memberCache) get() (string, []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tag, m.members
}

func (m *memberCache) put(tag string, members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tag, m.members = tag, members
}
