// Package fenced sends HTTP requests only while a condition holds, such as orders
// under a lease. The last byte of the body is withheld until the receiver has sent
// "100 Continue" and the condition has been checked again. A process that is
// suspended before that check and resumes after the condition has lapsed therefore
// sends no complete request.
//
// A short window remains between the last check and the system call that passes
// the last byte to the kernel. A sender cannot close it; a receiver can, by
// comparing epochs.
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

	"github.com/pomelocross/pomelocross/internal/bodyread"
	"github.com/pomelocross/pomelocross/internal/http1"
)

// continueTimeout is how long Send waits for "100 Continue". A receiver that
// does not support "Expect: 100-continue" gets the body after this time.
const continueTimeout = time.Second

// ErrNotSent means that the receiver cannot have received the whole request.
var ErrNotSent = errors.New("request was not sent")

// Check returns nil while the request may still be sent.
type Check func() error

// Sender sends each request on a new connection.
type Sender struct{ http *http.Client }

// maxResponseBytes limits the body of a response, which is discarded.
const maxResponseBytes = 64 << 10

// NewSender returns a Sender. The kernel drops bytes that the receiver has not
// acknowledged within userTimeout (TCP_USER_TIMEOUT), even while this process is
// suspended.
func NewSender(userTimeout time.Duration) *Sender {
	dialer := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return setUserTimeout(c, userTimeout)
	}}
	transport := http1.NewTransport(dialer.DialContext)
	transport.DisableKeepAlives = true
	transport.ExpectContinueTimeout = continueTimeout
	return &Sender{http: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     transport,
	}}
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}

// Send sends r, whose body must be JSON, and returns the status once it has read the complete
// response. Surrounding white space is trimmed: the withheld byte must be one without which a receiver
// cannot decode the value. If the error is ErrNotSent, the receiver did not get the whole request;
// after any other error the outcome is unknown.
func (s *Sender) Send(ctx context.Context, r *http.Request, check Check) (int, error) {
	if err := check(); err != nil {
		return 0, notSent(r, err)
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, notSent(r, err)
	}
	data = bytes.TrimSpace(data)
	body := &checkedBody{remaining: data, check: check}
	r = r.Clone(ctx)
	r.Body, r.GetBody, r.ContentLength = body, nil, int64(len(data))
	r.Header.Set("Expect", "100-continue")
	r.Close = true // otherwise net/http sends the body even after a final response
	status, err := s.exchange(r)
	complete := body.end()
	switch {
	case err == nil && !complete && status < http.StatusMultipleChoices:
		return 0, notSent(r, errAnswered)
	case err == nil:
		return status, nil
	case !complete:
		return 0, notSent(r, err)
	}
	return 0, oops.In("fenced").With("step", "send", "peer", r.URL.Host).Wrap(err)
}

// exchange sends r and reads the complete response.
func (s *Sender) exchange(r *http.Request) (status int, err error) {
	response, err := s.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if err := bodyread.Discard(response.Body, maxResponseBytes); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

func notSent(r *http.Request, cause error) error {
	return oops.In("fenced").With("step", "check", "peer", r.URL.Host).Wrap(errors.Join(ErrNotSent, cause))
}

// StaleEpoch reports whether a status means that the receiver refused the order because it has seen
// a newer epoch.
func StaleEpoch(status int) bool { return status == http.StatusConflict }
