package upstream

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A connection", func() {
	It("writes nothing after it was sealed, and is not sealed once a write began", func() {
		near, far := net.Pipe()
		DeferCleanup(far.Close)
		counted := &conn{Conn: near}
		received := make(chan byte, 2)
		go func() {
			one := make([]byte, 1)
			for {
				if _, err := far.Read(one); err != nil {
					close(received)
					return
				}
				received <- one[0]
			}
		}()
		start := counted.count()
		_, err := counted.Write([]byte("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(counted.seal(start)).To(BeFalse())
		Expect(counted.seal(counted.count())).To(BeTrue())
		_, err = counted.Write([]byte("b"))
		Expect(err).To(MatchError(errSealed))
		near.Close()
		Expect(<-received).To(Equal(byte('a')))
		Eventually(received).Should(BeClosed())
	})
})
