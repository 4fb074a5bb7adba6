package catalog

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Routes with escapes", func() {
	c := New(1, []Route{
		{Name: "pieces", Host: "a.example", Prefix: "/pi%C3%A8ces/"},
		{Name: "unescaped", Host: "b.example", Prefix: "/pièces/"},
		{Name: "open", Host: "c.example", Prefix: "/open/", Open: true},
		{Name: "rest", Host: "c.example", Prefix: "/"},
	}, nil, nil, Limits{})

	// The path was compared as decoded: a route whose prefix has escapes was never matched, and an
	// escaped slash ended the prefix of a route that needs no key.
	DescribeTable("are matched by the path as sent", func(host, path, name string) {
		r, _ := c.Match(host, path)
		Expect(r.Name).To(Equal(name))
	},
		Entry("escaped alike", "a.example", "/pi%C3%A8ces/5", "pieces"),
		Entry("escaped in lower case", "a.example", "/pi%c3%a8ces/5", "pieces"),
		Entry("a prefix that is not escaped", "b.example", "/pi%C3%A8ces/5", "unescaped"),
		Entry("escaped characters that need none", "c.example", "/%6Fpen/1", "open"),
		Entry("an escaped slash at the end of the prefix", "c.example", "/open%2F..%2Flook%2F1", "rest"),
	)
})

var _ = Describe("Paths of the batch interface", func() {
	c := New(1, []Route{
		{Name: "lots", Host: "train.example", Prefix: "/train/", Kind: KindRollout, MaxAge: 5},
		{Name: "rest", Host: "train.example", Prefix: "/", Kind: KindSafe},
		{Name: "items", Host: "both.example", Prefix: "/items/", Kind: KindSafe},
		{Name: "lots", Host: "both.example", Prefix: "/train/", Kind: KindRollout, MaxAge: 9},
		{Name: "items", Host: "parts.example", Prefix: "/items/", Kind: KindSafe},
		{Name: "rest", Host: "rest.example", Prefix: "/", Kind: KindSafe},
		{Name: "lots", Host: "odd.example", Prefix: "/items/", Kind: KindRollout},
	}, nil, nil, Limits{})

	// All requests of a route under /items/ were answered 404, on a host without batches.
	DescribeTable("belong to the hosts that have batches", func(host string, hasBatches, want bool) {
		Expect(c.IsBatchPath(host, "/items/5", "/items/", hasBatches)).To(Equal(want))
	},
		Entry("a host with batches", "train.example", true, true),
		Entry("a route for these paths beside batches", "both.example", true, false),
		Entry("a route for these paths", "parts.example", false, false),
		Entry("a route for all paths", "rest.example", false, false),
		Entry("a route for all paths, and batches of a route that was removed", "rest.example", true, true),
		Entry("a host that is not known", "other.example", false, true),
		Entry("a route for batches with this prefix", "odd.example", true, true),
	)

	It("knows the hosts with batches", func() {
		Expect(c.BatchHosts()).To(HaveLen(3))
		Expect(c.BatchHosts()).To(HaveKeyWithValue("both.example", BeEquivalentTo(9)))
	})
})
