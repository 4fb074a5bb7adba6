package catalog

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Catalog", func() {
	c := New(7, []Route{
		{Name: "root", Host: "desk.example", Prefix: "/"},
		{Name: "deep", Host: "desk.example", Prefix: "/kits/counts/"},
		{Name: "kits", Host: "desk.example", Prefix: "/kits/", Open: true},
	}, nil, []Team{{Name: "north", Keys: []string{"k1", "k2"}}}, Limits{})

	DescribeTable("matches the longest prefix", func(host, path, name string) {
		r, ok := c.Match(host, path)
		Expect(ok).To(Equal(name != ""))
		Expect(r.Name).To(Equal(name))
	},
		Entry("deepest", "desk.example", "/kits/counts/4", "deep"),
		Entry("between", "desk.example", "/kits/4", "kits"),
		Entry("a prefix ends with its slash", "desk.example", "/kitsx", "root"),
		Entry("the host's letters do not matter", "DESK.example", "/kits/4", "kits"),
		Entry("another host", "other.example", "/kits/4", ""),
	)

	It("knows teams by their keys and never by an empty one", func() {
		team, ok := c.Team("k2")
		Expect(ok).To(BeTrue())
		Expect(team.Name).To(Equal("north"))
		_, ok = c.Team("")
		Expect(ok).To(BeFalse())
	})

	It("asks for a key except on open routes, and not at all without teams", func() {
		Expect(c.NeedsKey(Route{})).To(BeTrue())
		Expect(c.NeedsKey(Route{Open: true})).To(BeFalse())
		Expect(New(1, nil, nil, nil, Limits{}).NeedsKey(Route{})).To(BeFalse())
	})

	DescribeTable("draws services by weight", func(draw float64, service string) {
		r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
		Expect(r.ServiceOf(draw)).To(Equal(service))
	},
		Entry("the first", 0.0, "a"), Entry("its end", 0.899, "a"), Entry("the second", 0.9, "b"), Entry("the last", 0.9999, "b"),
	)

	DescribeTable("tells what may run twice", func(r Route, repeatable bool) {
		Expect(r.Repeatable()).To(Equal(repeatable))
	},
		Entry("safe", Route{Kind: KindSafe}, true),
		Entry("unsafe", Route{Kind: KindUnsafe}, false),
		Entry("a stream", Route{Kind: KindStream}, false),
		Entry("a resumable stream", Route{Kind: KindStream, Resumable: true}, true),
	)
})
