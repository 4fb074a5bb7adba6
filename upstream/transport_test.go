package upstream

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A connection", func() {
	It("writes nothing after writes are blocked, and cannot be blocked once a write has started", func() {
		local, remote := net.Pipe()
		DeferCleanup(remote.Close)
		tracked := &trackedConn{Conn: local}
		received := make(chan byte, 2)
		go func() {
			buf := make([]byte, 1)
			for {
				if _, err := remote.Read(buf); err != nil {
					close(received)
					return
				}
				received <- buf[0]
			}
		}()
		start := tracked.startedBytes()
		_, err := tracked.Write([]byte("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(tracked.blockWrites(start)).To(BeFalse())
		Expect(tracked.blockWrites(tracked.startedBytes())).To(BeTrue())
		_, err = tracked.Write([]byte("b"))
		Expect(err).To(MatchError(errWritesBlocked))
		local.Close()
		Expect(<-received).To(Equal(byte('a')))
		Eventually(received).Should(BeClosed())
	})
})
