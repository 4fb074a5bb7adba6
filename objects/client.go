package objects

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/internal/fenced"
)

const (
	callTimeout = 3 * time.Second
	// maxAnswerBytes bounds a list of the largest objects of a kind.
	maxAnswerBytes = 64 << 20
)

// Client calls the platform over HTTP. It implements Store and Directory, and is
// safe for concurrent use.
type Client struct {
	base     *sling.Sling
	http     *http.Client
	calls    Counter
	budget   *Budget // nil is unbounded
	breakers *breakers

	listed memberCache

	senderOnce sync.Once
	sender     *fenced.Sender // of orders and reports
}

// Counter is told of every call to the platform, those included that were not
// sent. Classes are a verb and a kind, such as "put.lease".
type Counter interface{ Add(class string, err error) }

type noCounter struct{}

func (noCounter) Add(string, error) {}

// Options of a client; the zero value counts and bounds nothing.
type Options struct {
	Counter Counter
	Budget  *Budget
	// Transport replaces the client's own, for tests.
	Transport http.RoundTripper
}

// NewClient returns a client without a budget for the platform at address, an
// IP:port. A nil counter counts nothing.
func NewClient(address string, counter Counter) *Client {
	return NewClientWithOptions(address, Options{Counter: counter})
}

// NewClientWith returns a client for the platform at address, an IP:port.
func NewClientWithOptions(address string, o Options) *Client {
	if o.Counter == nil {
		o.Counter = noCounter{}
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 16, ResponseHeaderTimeout: time.Minute}
	}
	return &Client{
		base:     sling.New().Base("http://" + address + "/v1/"),
		http:     &http.Client{Transport: o.Transport},
		calls:    o.Counter,
		budget:   o.Budget,
		breakers: newBreakers(),
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.call(ctx, objectCall("get", kind), callTimeout, c.base.New().Get(objectPath(kind, name)), &o)
	return o, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, kind, name string, expect Version, value any) (Object, error) {
	var o Object
	request := c.base.New().Put(objectPath(kind, name) + "?expect=" + format(expect)).BodyJSON(value)
	err := c.call(ctx, objectCall("put", kind), callTimeout, request, &o)
	return o, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, expect Version) error {
	request := c.base.New().Delete(objectPath(kind, name) + "?expect=" + format(expect))
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
	path := "objects/" + url.PathEscape(kind) + "?after=" + format(after) + "&wait=" + url.QueryEscape(wait.String())
	err := c.call(ctx, objectCall("watch", kind), wait+callTimeout, c.base.New().Get(path), &l)
	return l, err
}

func objectPath(kind, name string) string {
	return "objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func format(v Version) string { return strconv.FormatInt(int64(v), 10) }

func (c *Client) call(ctx context.Context, what call, timeout time.Duration, request *sling.Sling, out any) error {
	err := c.guarded(ctx, what, func(ctx context.Context) error { return c.do(ctx, timeout, request, out) })
	return stepError(what, err)
}

// stepError names the call that failed; nil stays nil.
func stepError(what call, err error) error {
	if err == nil {
		return nil
	}
	return oops.In("platform").With("step", what.name).Wrap(err)
}

// guarded counts a call and sends it when budget and breaker allow.
func (c *Client) guarded(ctx context.Context, what call, send func(context.Context) error) error {
	err := c.budget.take(ctx, what)
	if err == nil {
		err = c.breakers.do(what, func() error { return send(ctx) })
	}
	c.calls.Add(what.name, err)
	return err
}

func (c *Client) do(ctx context.Context, timeout time.Duration, request *sling.Sling, out any) error {
	answer, err := c.exchange(ctx, timeout, request)
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(answer.body, out)
}

// reply is a whole answer with a status that is no failure.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) exchange(ctx context.Context, timeout time.Duration, request *sling.Sling) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := request.Request()
	if err != nil {
		return reply{}, err
	}
	answer, err := c.http.Do(r.WithContext(ctx))
	if err != nil {
		return reply{}, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return reply{}, err
	}
	return reply{answer.StatusCode, answer.Header, body}, statusError(answer)
}

func statusError(answer *http.Response) error {
	switch status := answer.StatusCode; {
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
	}
	return oops.Errorf("platform answered status %d", answer.StatusCode)
}
