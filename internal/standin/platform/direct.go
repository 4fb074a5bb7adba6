package platform

import (
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/pomelocross/pomelocross/internal/standin/journal"
)

// Direct carries a client's requests to the stand-in without a network, so that
// a fake clock can advance while they wait. It implements http.RoundTripper.
type Direct struct{ Server *Server }

// RoundTrip returns the stand-in's answer, or an error when the stand-in cuts
// the connection or the request's context ends first.
func (d Direct) RoundTrip(r *http.Request) (*http.Response, error) {
	answered := make(chan *http.Response, 1)
	go func() {
		defer close(answered)
		defer func() { _ = recover() }() // a cut connection is a panic of the handler
		w := httptest.NewRecorder()
		d.Server.ServeHTTP(w, r)
		answered <- w.Result()
	}()
	select {
	case answer := <-answered:
		if answer == nil {
			return nil, io.ErrUnexpectedEOF
		}
		return answer, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// Journal returns the scaling orders that were received for a domain.
func (s *Server) Journal(domain string) []journal.Order {
	var orders []journal.Order
	record := s.Record()
	for n, o := range record.Scale {
		if o.Domain == domain {
			orders = append(orders, journal.Order{
				At: record.ScaleTimes[n], Holder: o.Holder, Epoch: o.Epoch,
				Detail: o.Service + " " + string(o.Cost),
			})
		}
	}
	return orders
}
