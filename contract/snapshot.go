package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/internal/urlpath"
)

// Revision is the sequence number of an accepted bundle of a deployment. It starts at 1
// and never decreases.
type Revision int64

// Accepted is an accepted bundle in the form that the platform stores.
type Accepted struct {
	Revision Revision `json:"revision"`
	Digest   string   `json:"digest"` // SHA-256 of the bundle's JSON, hexadecimal
	By       string   `json:"by"`     // name of the operator who applied it
	Bundle   Bundle   `json:"bundle"`
	// Recent holds the entries of the last RecentEntries revisions, including this
	// one, oldest first.
	Recent []HistoryEntry `json:"recent,omitempty"`
}

// Digest returns the SHA-256 of the JSON encoding of a bundle, in hexadecimal.
func Digest(b *Bundle) (string, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return "", oops.In("contract").Wrapf(err, "encode bundle")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Snapshot is an accepted bundle with indexes for lookups. It is immutable.
type Snapshot struct {
	Accepted
	keys         map[string]Key
	teams        map[string]Team
	services     map[string]Service
	models       map[string]Model
	exactRoutes  map[string][]Route
	prefixRoutes []prefixRoute // longest prefix first
}

// NewSnapshot indexes an accepted bundle. It validates the bundle again and verifies
// its digest, so that a corrupted stored bundle never takes effect.
func NewSnapshot(a Accepted) (*Snapshot, error) {
	if diagnostics := Check(&a.Bundle); len(diagnostics) > 0 {
		return nil, oops.In("contract").With("revision", a.Revision).Wrap(&ValidationError{Diagnostics: diagnostics})
	}
	digest, err := Digest(&a.Bundle)
	if err != nil {
		return nil, err
	}
	if digest != a.Digest {
		return nil, oops.In("contract").With("revision", a.Revision).Errorf("digest does not match the bundle")
	}
	s := &Snapshot{Accepted: a, exactRoutes: map[string][]Route{}}
	s.keys = indexBy(a.Bundle.Keys, func(k Key) string { return k.ID })
	s.teams = indexBy(a.Bundle.Teams, func(t Team) string { return t.Name })
	s.services = indexBy(a.Bundle.Services, func(v Service) string { return v.Name })
	s.models = indexBy(a.Bundle.Models, func(m Model) string { return m.Name })
	s.indexRoutes()
	return s, nil
}

func indexBy[T any](items []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(items))
	for _, item := range items {
		m[name(item)] = item
	}
	return m
}

// prefixRoute is a route with the normalized form of its path, which is a prefix.
type prefixRoute struct {
	Route
	prefix string
}

func (s *Snapshot) indexRoutes() {
	for _, r := range s.Bundle.Routes {
		path := urlpath.Normalize(r.Path)
		if strings.HasSuffix(path, "/") {
			s.prefixRoutes = append(s.prefixRoutes, prefixRoute{r, path})
			continue
		}
		s.exactRoutes[path] = append(s.exactRoutes[path], r)
	}
	slices.SortStableFunc(s.prefixRoutes, func(a, b prefixRoute) int { return len(b.prefix) - len(a.prefix) })
}

// Match returns the route for a method and path. Exact paths take precedence over
// prefixes, and longer prefixes over shorter ones. path is the path as sent, with its escapes.
func (s *Snapshot) Match(method, path string) (Route, bool) {
	path = urlpath.Normalize(path)
	for _, r := range s.exactRoutes[path] {
		if slices.Contains(r.Methods, method) {
			return r, true
		}
	}
	for _, r := range s.prefixRoutes {
		if strings.HasPrefix(path, r.prefix) && slices.Contains(r.Methods, method) {
			return r.Route, true
		}
	}
	return Route{}, false
}

// Authenticate returns the declared key whose ID and secret match the API key that
// a caller sent.
func (s *Snapshot) Authenticate(credential string) (Key, bool) {
	id, secret, ok := SplitKey(credential)
	if !ok {
		return Key{}, false
	}
	key, ok := s.keys[id]
	if !ok || !secretMatches(key.Hash, secret) {
		return Key{}, false
	}
	return key, true
}

// HasKey reports whether the key is still declared with the same team and hash.
func (s *Snapshot) HasKey(k Key) bool { return s.keys[k.ID] == k }

// Key returns the declared key with the given ID.
func (s *Snapshot) Key(id string) (Key, bool) { k, ok := s.keys[id]; return k, ok }

// Team returns the declared team with the given name.
func (s *Snapshot) Team(name string) (Team, bool) { t, ok := s.teams[name]; return t, ok }

// Service returns the declared service with the given name.
func (s *Snapshot) Service(name string) (Service, bool) { v, ok := s.services[name]; return v, ok }

// Model returns the declared model with the given name.
func (s *Snapshot) Model(name string) (Model, bool) { m, ok := s.models[name]; return m, ok }

// ServicesOfModel returns the services that serve the given model.
func (s *Snapshot) ServicesOfModel(model string) []Service {
	var found []Service
	for _, v := range s.Bundle.Services {
		if v.Model == model {
			found = append(found, v)
		}
	}
	return found
}

// Values of Service.WhenIsolated.
const (
	IsolatedServe  = "serve"
	IsolatedRefuse = "refuse"
)

// ServesIsolated reports whether a domain serves requests for the service when its
// last update from the platform is age old.
func (v Service) ServesIsolated(age time.Duration) bool {
	if v.WhenIsolated != IsolatedServe {
		return false
	}
	return v.IsolatedFor == 0 || age <= v.IsolatedFor.Std()
}
