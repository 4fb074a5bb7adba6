package gateway

import (
	"io"
	"net/rpc"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/batch"
)

var _ = Describe("The error of a submission to a peer", func() {
	It("says whether the peer has declined the batch, and whether for lack of room", func() {
		noRoom := submitError(SubmitReply{}, rpc.ServerError(batch.ErrNoRoom.Error()))
		Expect(noRoom).To(MatchError(batch.ErrDeclined))
		Expect(noRoom).To(MatchError(batch.ErrNoRoom))
		tooLarge := submitError(SubmitReply{}, rpc.ServerError(batch.ErrTooLarge.Error()))
		Expect(tooLarge).To(MatchError(batch.ErrDeclined))
		Expect(tooLarge).To(MatchError(batch.ErrTooLarge))
		for _, declined := range []error{rpc.ServerError("stopping"), syscall.ECONNREFUSED} {
			err := submitError(SubmitReply{}, declined)
			Expect(err).To(MatchError(batch.ErrDeclined))
			Expect(err).NotTo(MatchError(batch.ErrNoRoom))
		}
		Expect(submitError(SubmitReply{}, io.ErrUnexpectedEOF)).NotTo(MatchError(batch.ErrDeclined))
		Expect(submitError(SubmitReply{Code: codeIndeterminate}, nil)).To(MatchError(batch.ErrOutcomeUnknown))
		Expect(submitError(SubmitReply{}, nil)).To(Succeed())
	})
})
