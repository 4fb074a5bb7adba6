package urlpath

import (
	"net/url"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "URL path")
}

var _ = Describe("Normalize", func() {
	DescribeTable("gives equivalent paths the same form", func(path, want string) {
		Expect(Normalize(path)).To(Equal(want))
	},
		Entry("plain", "/kits/4", "/kits/4"),
		Entry("escaped unreserved characters", "/%6Bits/%7e4", "/kits/~4"),
		Entry("escapes in lower case", "/pi%c3%a8ces/", "/pi%C3%A8ces/"),
		Entry("characters that must be escaped", "/pièces/a b", "/pi%C3%A8ces/a%20b"),
		Entry("an escaped slash, which separates no segments", "/open%2f..%2Flook", "/open%2F..%2Flook"),
		Entry("dot segments, which upstreams get as sent", "/x/../items/./5", "/x/../items/./5"),
		Entry("reserved characters", "/a%3Bb;c", "/a%3Bb;c"),
		Entry("no escapes", "/100%/%zz%4", "/100%25/%25zz%254"),
	)

	It("keeps what a path stands for, and changes a normal path no further", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			path := (&url.URL{Path: "/" + rapid.String().Draw(t, "path")}).EscapedPath()
			normal := Normalize(path)
			got, err := url.PathUnescape(normal)
			want, _ := url.PathUnescape(path) // valid, since it was just escaped
			if err != nil || got != want || Normalize(normal) != normal {
				t.Fatalf("%q became %q", path, normal)
			}
		})
	})
})
