// Package fenced sends HTTP requests that must not leave once a condition has
// ceased to hold, such as orders under a lease. The last byte of the body is
// held back until the receiver has said that it reads the body and the
// condition has been checked again, so that a process that was stopped at any
// earlier point sends no whole request when it goes on.
//
// Between the last check and the system call that hands the bytes to the
// kernel lies a window that no sender can close; only a receiver that compares
// epochs can.
package fenced

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"
)

// continueTimeout is how long a receiver may take to ask for the body; one
// that does not know "Expect: 100-continue" gets it unasked after this time.
const continueTimeout = time.Second

// ErrNotSent means that the receiver cannot have got the whole request.
var ErrNotSent = errors.New("request was not sent")

// Check returns nil while the request may still leave.
type Check func() error

// Sender sends requests, each on a connection of its own.
type Sender struct{ http *http.Client }

// NewSender returns a Sender. The kernel drops bytes that the receiver has not
// acknowledged after lifetime, even when this process is stopped.
func NewSender(lifetime time.Duration) *Sender {
	dialer := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return setUserTimeout(c, lifetime)
	}}
	return &Sender{http: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:           dialer.DialContext,
			DisableKeepAlives:     true,
			DisableCompression:    true,
			ExpectContinueTimeout: continueTimeout,
		},
	}}
}

func setUserTimeout(c syscall.RawConn, lifetime time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(lifetime.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Send sends r, whose body must be JSON. Space after the value is cut off, so
// that the byte held back is one without which no receiver can decode it. An
// error that is ErrNotSent is definite; any other leaves the outcome unknown.
func (s *Sender) Send(ctx context.Context, r *http.Request, check Check) (*http.Response, error) {
	if err := check(); err != nil {
		return nil, notSent(r, err)
	}
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, notSent(r, err)
	}
	body := &heldBody{left: bytes.TrimSpace(value), check: check}
	r = r.Clone(ctx)
	r.Body, r.GetBody, r.ContentLength = body, nil, int64(len(body.left))
	r.Header.Set("Expect", "100-continue")
	answer, err := s.http.Do(r)
	switch {
	case err == nil:
		return answer, nil
	case !body.released.Load():
		return nil, notSent(r, err)
	}
	return nil, oops.In("fenced").With("step", "send", "peer", r.URL.Host).Wrap(err)
}

func notSent(r *http.Request, cause error) error {
	return oops.In("fenced").With("step", "check", "peer", r.URL.Host).Wrap(errors.Join(ErrNotSent, cause))
}

// Refused reports whether an answer says that the order's epoch is old.
func StaleEpoch(answer *http.Response) bool { return answer.StatusCode == http.StatusConflict }

// Close closes a body after reading what is left of a small answer.
func Close(answer *http.Response) {
	_, _ = io.CopyN(io.Discard, answer.Body, 1<<10)
	answer.Body.Close()
}
