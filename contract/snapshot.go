package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Revision counts accepted bundles of a deployment, from 1. It only rises.
type Revision int64

// Accepted is a bundle as the platform stores it.
type Accepted struct {
	Revision Revision `json:"revision"`
	Digest   string   `json:"digest"` // SHA-256 of the bundle's JSON, hexadecimal
	By       string   `json:"by"`     // operator who applied it
	Bundle   Bundle   `json:"bundle"`
	// Recent are the last history entries, this revision's included.
	Recent []HistoryEntry `json:"recent,omitempty"`
}

// Digest returns the SHA-256 of the bundle's JSON in hexadecimal.
func Digest(b *Bundle) (string, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return "", oops.In("contract").Wrapf(err, "encode bundle")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Snapshot is an accepted bundle with indexes. It is immutable.
type Snapshot struct {
	Accepted
	keys     map[string]Key
	teams    map[string]Team
	services map[string]Service
	models   map[string]Model
	exact    map[string][]Route
	prefixes []Route // longest path first
}

// NewSnapshot indexes an accepted bundle after checking it once more, so that
// a damaged stored value is never put in force.
func NewSnapshot(a Accepted) (*Snapshot, error) {
	if faults := Check(&a.Bundle); len(faults) > 0 {
		return nil, oops.In("contract").With("revision", a.Revision).Wrap(&ValidationError{Diagnostics: faults})
	}
	digest, err := Digest(&a.Bundle)
	if err != nil {
		return nil, err
	}
	if digest != a.Digest {
		return nil, oops.In("contract").With("revision", a.Revision).Errorf("digest does not match the bundle")
	}
	s := &Snapshot{Accepted: a, exact: map[string][]Route{}}
	s.keys = index(a.Bundle.Keys, func(k Key) string { return k.ID })
	s.teams = index(a.Bundle.Teams, func(t Team) string { return t.Name })
	s.services = index(a.Bundle.Services, func(v Service) string { return v.Name })
	s.models = index(a.Bundle.Models, func(m Model) string { return m.Name })
	s.indexRoutes()
	return s, nil
}

func index[T any](items []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(items))
	for _, item := range items {
		m[name(item)] = item
	}
	return m
}

func (s *Snapshot) indexRoutes() {
	for _, r := range s.Bundle.Routes {
		if strings.HasSuffix(r.Path, "/") {
			s.prefixes = append(s.prefixes, r)
			continue
		}
		s.exact[r.Path] = append(s.exact[r.Path], r)
	}
	slices.SortStableFunc(s.prefixes, func(a, b Route) int { return len(b.Path) - len(a.Path) })
}

// Match returns the route for a method and path.
func (s *Snapshot) Match(method, path string) (Route, bool) {
	for _, r := range s.exact[path] {
		if slices.Contains(r.Methods, method) {
			return r, true
		}
	}
	for _, r := range s.prefixes {
		if strings.HasPrefix(path, r.Path) && slices.Contains(r.Methods, method) {
			return r, true
		}
	}
	return Route{}, false
}

// Authenticate returns the declared key that the presented text proves.
func (s *Snapshot) Authenticate(presented string) (Key, bool) {
	id, secret, ok := SplitKey(presented)
	if !ok {
		return Key{}, false
	}
	key, ok := s.keys[id]
	if !ok || !secretMatches(key.Hash, secret) {
		return Key{}, false
	}
	return key, true
}

// HasKey reports whether the key, with this team and hash, is still declared.
func (s *Snapshot) HasKey(k Key) bool { return s.keys[k.ID] == k }

// Key returns the declared key with an identifier.
func (s *Snapshot) Key(id string) (Key, bool) { k, ok := s.keys[id]; return k, ok }

// Team returns the declared team.
func (s *Snapshot) Team(name string) (Team, bool) { t, ok := s.teams[name]; return t, ok }

// Service returns the declared service.
func (s *Snapshot) Service(name string) (Service, bool) { v, ok := s.services[name]; return v, ok }

// Model returns the declared model.
func (s *Snapshot) Model(name string) (Model, bool) { m, ok := s.models[name]; return m, ok }

// ServicesOfModel returns the services that serve a model.
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

// ServesIsolated reports whether the service takes work in a domain that has not
// heard the platform for the given time.
func (v Service) ServesIsolated(age time.Duration) bool {
	if v.WhenIsolated != IsolatedServe {
		return false
	}
	return v.IsolatedFor == 0 || age <= v.IsolatedFor.Std()
}
