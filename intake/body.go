package intake

import (
	"errors"
	"io"
	"net/http"

	"github.com/pomelocross/pomelocross/internal/bodyread"
)

// ErrTooLarge is the error of a body that is larger than allowed.
var ErrTooLarge = errors.New("the body is too large")

// ReadBody reads the body of a request up to a limit in bytes. factor is the memory that a byte of
// the body takes while the request is served. It returns ErrNoRoom, ErrTooLarge or the error of the
// connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, factor int) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	claim := ClaimOf(r.Context())
	end := claim.Wait()
	body, err := readBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, factor, claim)
	end() // from here on the claim can't be given up for this body, so the check below is final
	if rejectGivenUp(w, claim) {
		return nil, ErrNoRoom
	}
	var exceeded *http.MaxBytesError
	if errors.As(err, &exceeded) {
		return nil, ErrTooLarge
	}
	return body, err
}

// readBody reads a body of a length in bytes, or of unknown size if that is negative, and claims
// its memory.
func readBody(reader io.Reader, length, limit int64, factor int, claim *Claim) ([]byte, error) {
	if length >= 0 {
		if err := claim.Grow(int(length) * factor); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(reader, body); err != nil {
			return nil, err
		}
		return body, nil
	}
	// The parts of a body and the joined body exist at the same time.
	claimed := 0
	return bodyread.All(reader, int(limit), func(bytes int) error {
		more := max(2, factor)*bytes - claimed
		claimed += more
		return claim.Grow(more)
	})
}

// rejectGivenUp reports whether the caller was given up. The connection then ends with the response,
// since its claim can't hold another request.
func rejectGivenUp(w http.ResponseWriter, claim *Claim) bool {
	if !claim.GivenUp() {
		return false
	}
	w.Header().Set("Connection", "close")
	return true
}

// ClaimBodies serves requests with next, whose bodies claim memory until next returns: requests of
// HTTP/2 may overlap on a connection, which then is never idle. next must not read the body after
// it has returned. factor is
// the memory that a byte of a body takes while the request is served. Reads of the body return
// ErrNoRoom if there is no room.
func ClaimBodies(next http.Handler, factor int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		claim := ClaimOf(r.Context())
		if claim == nil || r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &claimedBody{ReadCloser: r.Body, w: w, claim: claim, factor: factor, wait: claim.pauses()}
		defer func() { claim.releaseHeld(body.held) }()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// claimedBody is a body whose reads claim memory. The process waits for the caller only during
// reads: a reader may stop before the end of the body and serve the request.
type claimedBody struct {
	io.ReadCloser
	w      http.ResponseWriter
	claim  *Claim
	factor int
	wait   *pauses
	held   int // bytes of the claim that are for this body
}

// Read implements io.Reader.
func (b *claimedBody) Read(p []byte) (int, error) {
	b.wait.resume()
	n, err := b.ReadCloser.Read(p)
	b.wait.pause()
	grown := b.claim.growHeld(n * b.factor)
	if rejectGivenUp(b.w, b.claim) || grown != nil {
		return 0, ErrNoRoom
	}
	b.held += n * b.factor
	return n, err
}
