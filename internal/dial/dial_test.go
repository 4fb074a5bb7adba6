package dial

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Dial")
}

var _ = Describe("A connection", func() {
	It("has SO_LINGER set to zero and TCP_USER_TIMEOUT set", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		conn, err := Func(time.Second, 1500*time.Millisecond)(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		raw, err := conn.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		Expect(raw.Control(func(fd uintptr) {
			linger, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_LINGER)
			Expect(err).NotTo(HaveOccurred())
			Expect(linger).To(Equal(1)) // enabled, with a timeout of 0 s
			timeout, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			Expect(err).NotTo(HaveOccurred())
			Expect(timeout).To(Equal(1500))
		})).To(Succeed())
	})

	It("is reset by Close, so that unsent data does not arrive later", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		conn, err := Func(time.Second, time.Second)(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		other, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Close)
		Expect(conn.Close()).To(Succeed())
		_, err = other.Read(make([]byte, 1))
		Expect(err).To(MatchError(unix.ECONNRESET))
	})
})
