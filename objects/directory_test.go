package objects_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/objects"
)

// statuses records the status of each answer.
type statuses struct {
	standin.Direct
	seen []int
}

func (s *statuses) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := s.Direct.RoundTrip(r)
	if err == nil {
		s.seen = append(s.seen, answer.StatusCode)
	}
	return answer, err
}

var _ = Describe("The instance list", func() {
	It("is sent again only after a change", func() {
		server := standin.New()
		transport := &statuses{Direct: standin.Direct{Server: server}}
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
		Expect(transport.seen).To(Equal([]int{200, 304, 200}))
	})
})
