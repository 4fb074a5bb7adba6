package objects_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/objects"
)

// statusRecorder records the HTTP status of each response.
type statusRecorder struct {
	standin.Direct
	statuses []int
}

func (s *statusRecorder) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := s.Direct.RoundTrip(r)
	if err == nil {
		s.statuses = append(s.statuses, resp.StatusCode)
	}
	return resp, err
}

var _ = Describe("The instance list", func() {
	It("is transferred again only after a change", func() {
		server := standin.New()
		transport := &statusRecorder{Direct: standin.Direct{Server: server}}
		c := objects.NewClientWithOptions("platform", objects.Options{Transport: transport})
		read := func() []objects.Member {
			members, err := c.Members(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return members
		}
		server.SetMembers([]objects.Member{{Name: "a"}})
		Expect(read()).To(HaveLen(1))
		Expect(read()).To(HaveLen(1))
		server.SetMembers([]objects.Member{{Name: "a"}, {Name: "b"}})
		Expect(read()).To(HaveLen(2))
		Expect(transport.statuses).To(Equal([]int{200, 304, 200}))
	})
})
