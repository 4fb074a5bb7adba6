package objects

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/internal/fenced"
	"github.com/pomelocross/pomelocross/internal/http1"
)

const (
	callTimeout = 3 * time.Second
	// maxResponseBytes bounds a response, such as a list of objects of maximum size.
	maxResponseBytes = 64 << 20
	// maxIdleConns limits the connections that are kept for further calls.
	maxIdleConns = 16
)

// Client is an HTTP client for the platform. It implements Store and Directory, and
// is safe for concurrent use.
type Client struct {
	base     *sling.Sling
	http     *http.Client
	counter  Counter
	budget   *Budget // nil means no limit
	breakers *breakers

	memberList memberCache

	senderOnce sync.Once
	sender     *fenced.Sender // for scaling orders and usage reports
}

// Counter counts all calls to the platform, including calls that were not sent. The
// class is a verb and a kind, such as "put.lease", or the name of a call outside the
// object API, such as "scale".
type Counter interface{ Add(class string, err error) }

type noCounter struct{}

func (noCounter) Add(string, error) {}

// Options configures a Client. The zero value counts no calls and has no rate limit.
type Options struct {
	Counter Counter
	Budget  *Budget
	// Transport replaces the default transport in tests.
	Transport http.RoundTripper
}

// NewClient returns a client without a rate limit for the platform at address, in the
// form IP:port. A nil counter counts no calls.
func NewClient(address string, counter Counter) *Client {
	return NewClientWithOptions(address, Options{Counter: counter})
}

// NewClientWithOptions returns a client for the platform at address, in the form
// IP:port.
func NewClientWithOptions(address string, o Options) *Client {
	if o.Counter == nil {
		o.Counter = noCounter{}
	}
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	return &Client{
		base:     sling.New().Base("http://" + address + "/v1/"),
		http:     &http.Client{Transport: o.Transport, CheckRedirect: refuseRedirect},
		counter:  o.Counter,
		budget:   o.Budget,
		breakers: newBreakers(),
	}
}

// refuseRedirect keeps the client from following redirects: a call must not reach another server.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newTransport() *http.Transport {
	transport := http1.NewTransport((&net.Dialer{}).DialContext)
	transport.MaxIdleConnsPerHost = maxIdleConns
	transport.ResponseHeaderTimeout = time.Minute
	return transport
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.call(ctx, objectCall("get", kind), callTimeout, c.base.New().Get(objectPath(kind, name)), &o)
	return o, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, kind, name string, expect Version, value any) (Object, error) {
	encoded, err := Encode(value)
	if err != nil {
		return Object{}, oops.In("platform").With("kind", kind, "object", name).Wrap(err)
	}
	var o Object
	request := c.base.New().Put(objectPath(kind, name) + "?expect=" + formatVersion(expect)).BodyJSON(encoded)
	err = c.call(ctx, objectCall("put", kind), callTimeout, request, &o)
	return o, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, expect Version) error {
	request := c.base.New().Delete(objectPath(kind, name) + "?expect=" + formatVersion(expect))
	return c.call(ctx, objectCall("delete", kind), callTimeout, request, nil)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) (List, error) {
	var l List
	err := c.call(ctx, objectCall("list", kind), callTimeout, c.base.New().Get("objects/"+url.PathEscape(kind)), &l)
	return l, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind string, after Version, wait time.Duration) (List, error) {
	var l List
	path := "objects/" + url.PathEscape(kind) + "?after=" + formatVersion(after) + "&wait=" + url.QueryEscape(wait.String())
	err := c.call(ctx, objectCall("watch", kind), wait+callTimeout, c.base.New().Get(path), &l)
	return l, err
}

func objectPath(kind, name string) string {
	return "objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func formatVersion(v Version) string { return strconv.FormatInt(int64(v), 10) }

func (c *Client) call(ctx context.Context, class callClass, timeout time.Duration, request *sling.Sling, out any) error {
	err := c.sendGuarded(ctx, class, func(ctx context.Context) error { return c.do(ctx, timeout, request, out) })
	return wrapError(class, err)
}

// wrapError adds the call class to err. It returns nil if err is nil.
func wrapError(class callClass, err error) error {
	if err == nil {
		return nil
	}
	return oops.In("platform").With("step", class.name).Wrap(err)
}

// sendGuarded sends a call if the budget and the circuit breaker allow it, and counts
// it in either case.
func (c *Client) sendGuarded(ctx context.Context, class callClass, send func(context.Context) error) error {
	err := c.budget.wait(ctx, class)
	if err == nil {
		err = c.breakers.execute(class, func() error { return send(ctx) })
	}
	c.counter.Add(class.name, err)
	return err
}

func (c *Client) do(ctx context.Context, timeout time.Duration, request *sling.Sling, out any) error {
	resp, err := c.roundTrip(ctx, timeout, request)
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(resp.body, out)
}

// response is a completely read HTTP response with a status that is not a failure.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) roundTrip(ctx context.Context, timeout time.Duration, request *sling.Sling) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := request.Request()
	if err != nil {
		return response{}, err
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, err
	}
	return response{resp.StatusCode, resp.Header, body}, statusError(resp.StatusCode)
}

// IsRejection reports whether an HTTP status of a store refers to what the call holds, so that
// the same call gets it each time.
func IsRejection(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusRequestURITooLong,
		http.StatusUnprocessableEntity, http.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return false
}

func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices, status == http.StatusNotModified:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusGone:
		return ErrGap
	case status == http.StatusTooManyRequests:
		return ErrRefused
	case IsRejection(status):
		return ErrRejected
	}
	return oops.Errorf("platform returned status %d", status)
}
