package link_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/link"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Link")
}

// Echo answers calls.
type Echo struct{ hold chan struct{} }

// Say returns what it is told.
func (e *Echo) Say(text string, reply *string) error { *reply = text; return nil }

// Hold answers when it is released.
func (e *Echo) Hold(text string, reply *string) error { <-e.hold; *reply = text; return nil }

// path joins dialers to a server; a silent one swallows what old connections send.
type path struct {
	listener net.Listener
	target   string
	silenced atomic.Int64 // connections with a lower number are silent
	count    atomic.Int64
}

func (p *path) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			return
		}
		number := p.count.Add(1)
		go io.Copy(from, to)
		go func() {
			buffer := make([]byte, 4096)
			for {
				n, err := from.Read(buffer)
				if err != nil {
					to.Close()
					return
				}
				if number > p.silenced.Load() {
					to.Write(buffer[:n])
				}
			}
		}()
	}
}

var _ = Describe("A link", func() {
	const secret = "a secret of sixteen"
	var (
		echo   *Echo
		way    *path
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
		return d.Call(ctx, way.listener.Addr().String(), method, "x", &reply)
	}

	BeforeEach(func() {
		echo = &Echo{hold: make(chan struct{})}
		server := link.NewServer(identity("d", secret))
		Expect(server.Register("Echo", echo)).To(Succeed())
		listener := listen()
		go server.Serve(listener)
		DeferCleanup(server.Close)
		way = &path{listener: listen(), target: listener.Addr().String()}
		go way.serve()
		dialer = link.NewDialer(identity("d", secret))
		DeferCleanup(dialer.Close)
	})

	It("gives up a connection on which nothing is answered", func() {
		Expect(call(dialer, "Echo.Say", time.Second)).To(Succeed())
		way.silenced.Store(way.count.Load())
		Expect(call(dialer, "Echo.Say", 100*time.Millisecond)).To(MatchError(context.DeadlineExceeded))
		Expect(call(dialer, "Echo.Say", time.Second)).To(Succeed())
		Expect(dialer.Traffic().Sent).To(BeNumerically(">", 0))
	})

	It("lets a slow call finish on a connection that it has given up", func() {
		slow := make(chan error, 1)
		go func() { slow <- call(dialer, "Echo.Hold", 10*time.Second) }()
		Eventually(way.count.Load).Should(Equal(int64(1)))
		Eventually(func() error { return call(dialer, "Echo.Hold", 20*time.Millisecond) }).Should(MatchError(context.DeadlineExceeded))
		close(echo.hold)
		Eventually(slow).Should(Receive(Succeed()))
	})

	DescribeTable("refuses a peer that does not hold the secret", func(deployment, other string) {
		stranger := link.NewDialer(identity(deployment, other))
		DeferCleanup(stranger.Close)
		Expect(call(stranger, "Echo.Say", time.Second)).NotTo(Succeed())
	},
		Entry("another secret", "d", "another secret of sixteen"),
		Entry("another deployment", "e", secret),
	)
})
