package objects

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// memberCache holds the last instance list, so that an unchanged one is not
// sent again: at the target size the list is some 150 KB and changes a few
// hundred times a day.
type memberCache struct {
	mu      sync.Mutex // guards both
	tag     string     // entity tag of members; empty when the platform gives none
	members []Member
}

// Members implements Directory. It asks only for a list that has changed.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	tag, known := c.listed.get()
	var members []Member
	err := c.guarded(ctx, callMembers, func(ctx context.Context) error {
		answer, err := c.exchange(ctx, callTimeout, c.base.New().Get("instances").Set("If-None-Match", tag))
		if err != nil {
			return err
		}
		if answer.status == http.StatusNotModified {
			members = known
			return nil
		}
		if err := json.Unmarshal(answer.body, &members); err != nil {
			return err
		}
		c.listed.put(answer.header.Get("ETag"), members)
		return nil
	})
	return slices.Clone(members), stepError(callMembers, err)
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
