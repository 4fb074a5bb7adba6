package link_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/link"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Link")
}

// Echo is an RPC service.
type Echo struct{ release chan struct{} }

// Say returns its argument.
func (e *Echo) Say(text string, reply *string) error { *reply = text; return nil }

// Hold returns its argument once release is closed.
func (e *Echo) Hold(text string, reply *string) error { <-e.release; *reply = text; return nil }

// failingListener fails to accept as often as failures says, as a listener does while
// the process has no free file descriptor.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func timeoutContext(timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	DeferCleanup(cancel)
	return ctx
}

// blackholeProxy forwards connections to target. It discards what clients send on
// blackholed connections, without closing them.
type blackholeProxy struct {
	listener   net.Listener
	target     string
	blackholed atomic.Int64 // connections with an id up to this one are blackholed
	accepted   atomic.Int64
	// stalled makes the proxy read nothing more from connections with an id up to this one, so
	// that writes to them block once the buffers are full.
	stalled atomic.Int64
}

func (p *blackholeProxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			return
		}
		id := p.accepted.Add(1)
		go io.Copy(from, to)
		go func() {
			buffer := make([]byte, 4096)
			for {
				n, err := from.Read(buffer)
				if err != nil {
					to.Close()
					return
				}
				if id > p.blackholed.Load() {
					to.Write(buffer[:n])
				}
				for id <= p.stalled.Load() {
					time.Sleep(10 * time.Millisecond)
				}
			}
		}()
	}
}

var _ = Describe("A link", func() {
	const secret = "a secret of sixteen"
	var (
		echo   *Echo
		proxy  *blackholeProxy
		dialer *link.Dialer
	)

	identity := func(deployment, secret string) *link.Identity {
		id, err := link.NewIdentity(deployment, secret)
		Expect(err).NotTo(HaveOccurred())
		return id
	}
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		return l
	}
	call := func(d *link.Dialer, method string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		var reply string
		return d.Call(ctx, proxy.listener.Addr().String(), method, "x", &reply)
	}

	BeforeEach(func() {
		echo = &Echo{release: make(chan struct{})}
		server := link.NewServer(identity("d", secret))
		Expect(server.Register("Echo", echo)).To(Succeed())
		listener := listen()
		go server.Serve(listener, func(error) {})
		DeferCleanup(server.Close)
		proxy = &blackholeProxy{listener: listen(), target: listener.Addr().String()}
		go proxy.serve()
		dialer = link.NewDialer(identity("d", secret))
		DeferCleanup(dialer.Close)
	})

	It("does not reuse a connection on which no reply arrives", func() {
		Expect(call(dialer, "Echo.Say", time.Second)).To(Succeed())
		proxy.blackholed.Store(proxy.accepted.Load())
		Expect(call(dialer, "Echo.Say", 100*time.Millisecond)).To(MatchError(context.DeadlineExceeded))
		Expect(call(dialer, "Echo.Say", time.Second)).To(Succeed())
		Expect(dialer.Traffic().Sent).To(BeNumerically(">", 0))
	})

	// A path that took no more bytes held all calls of the instance, to any peer, for 5 s: a call
	// blocked while it was written, and TLS waited to write the notice of a close.
	It("ends calls in time on a connection that takes no bytes, and delays no other call", func() {
		other := link.NewServer(identity("d", secret))
		Expect(other.Register("Echo", echo)).To(Succeed())
		listener := listen()
		go other.Serve(listener, func(error) {})
		DeferCleanup(other.Close)
		say := func(address, text string, timeout time.Duration) (time.Duration, error) {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			var reply string
			began := time.Now()
			err := dialer.Call(ctx, address, "Echo.Say", text, &reply)
			return time.Since(began), err
		}
		stalling := proxy.listener.Addr().String()
		for _, address := range []string{stalling, listener.Addr().String()} {
			_, err := say(address, "x", time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
		proxy.stalled.Store(proxy.accepted.Load())
		DeferCleanup(func() { proxy.stalled.Store(0) })
		const timeout = 200 * time.Millisecond
		const soon = timeout + 500*time.Millisecond
		large := strings.Repeat("x", 32<<20) // more than the buffers take
		var calls sync.WaitGroup
		for range 3 {
			calls.Go(func() {
				defer GinkgoRecover()
				took, err := say(stalling, large, timeout)
				Expect(err).To(MatchError(context.DeadlineExceeded))
				Expect(took).To(BeNumerically("<", soon))
			})
		}
		for began := time.Now(); time.Since(began) < time.Second; {
			took, err := say(listener.Addr().String(), "x", time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(took).To(BeNumerically("<", soon))
		}
		calls.Wait()
		_, err := say(stalling, "x", time.Second)
		Expect(err).NotTo(HaveOccurred(), "on a new connection")
	})

	It("lets a slow call finish on a connection that is no longer reused", func() {
		slow := make(chan error, 1)
		go func() { slow <- call(dialer, "Echo.Hold", 10*time.Second) }()
		Eventually(proxy.accepted.Load).Should(Equal(int64(1)))
		Eventually(func() error { return call(dialer, "Echo.Hold", 20*time.Millisecond) }).Should(MatchError(context.DeadlineExceeded))
		close(echo.release)
		Eventually(slow).Should(Receive(Succeed()))
	})

	It("does not write a reply that arrives after its call has ended", func() {
		// Guards against callers that read a reply while it is being decoded.
		slow := make(chan error, 1)
		go func() { slow <- call(dialer, "Echo.Hold", 10*time.Second) }()
		Eventually(proxy.accepted.Load).Should(Equal(int64(1)))
		var reply string
		Expect(dialer.Call(timeoutContext(50*time.Millisecond), proxy.listener.Addr().String(), "Echo.Hold", "late", &reply)).To(MatchError(context.DeadlineExceeded))
		close(echo.release)
		Eventually(slow).Should(Receive(Succeed()))
		Consistently(func() string { return reply }, "100ms").Should(BeEmpty())
	})

	// A process without free file descriptors stopped accepting connections of other
	// instances for good after the first failure.
	It("goes on accepting connections after its listener failed", func() {
		server := link.NewServer(identity("d", secret))
		Expect(server.Register("Echo", echo)).To(Succeed())
		failing := &failingListener{Listener: listen()}
		failing.failures.Store(3)
		var reported atomic.Int64
		go server.Serve(failing, func(error) { reported.Add(1) })
		DeferCleanup(server.Close)
		var reply string
		Expect(dialer.Call(timeoutContext(5*time.Second), failing.Addr().String(), "Echo.Say", "x", &reply)).To(Succeed())
		Expect(reported.Load()).To(Equal(int64(3)))
	})

	DescribeTable("rejects a peer that does not hold the secret", func(deployment, otherSecret string) {
		outsider := link.NewDialer(identity(deployment, otherSecret))
		DeferCleanup(outsider.Close)
		Expect(call(outsider, "Echo.Say", time.Second)).NotTo(Succeed())
	},
		Entry("another secret", "d", "another secret of sixteen"),
		Entry("another deployment", "e", secret),
	)
})
