package operator

import (
	"io"

	ginkgo "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/rawserver"
)

var _ = ginkgo.DescribeTable("A broken response of an instance is reported as an error", func(ctx ginkgo.SpecContext, text string) {
	address, closeListener, err := rawserver.ListenText(text)
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(closeListener)
	_, err = (&Operator{Admin: address, Out: io.Discard}).AllStatus(ctx)
	Expect(err).To(HaveOccurred())
},
	ginkgo.Entry("status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n[]"),
	ginkgo.Entry("a blank in a field name", "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n[]"),
	ginkgo.Entry("a response that is cut after its value", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n[]"),
)
