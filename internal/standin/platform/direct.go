package platform

import (
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/pomelocross/pomelocross/internal/standin/journal"
)

// Direct passes a client's requests to the stand-in without a network connection, so
// that a test can advance a fake clock while they wait. It implements
// http.RoundTripper.
type Direct struct{ Server *Server }

// RoundTrip returns the stand-in's response. It returns an error if the stand-in
// aborts the connection or the request's context ends first.
func (d Direct) RoundTrip(r *http.Request) (*http.Response, error) {
	responses := make(chan *http.Response, 1)
	go func() {
		defer close(responses)
		defer func() { _ = recover() }() // the handler aborts a connection with a panic
		w := httptest.NewRecorder()
		d.Server.ServeHTTP(w, r)
		responses <- w.Result()
	}()
	select {
	case response := <-responses:
		if response == nil {
			return nil, io.ErrUnexpectedEOF
		}
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// Journal returns the scaling orders received for a domain.
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
