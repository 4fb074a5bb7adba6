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

	DescribeTable("matches the route with the longest prefix", func(host, path, name string) {
		r, ok := c.Match(host, path)
		Expect(ok).To(Equal(name != ""))
		Expect(r.Name).To(Equal(name))
	},
		Entry("longest prefix", "desk.example", "/kits/counts/4", "deep"),
		Entry("shorter prefix", "desk.example", "/kits/4", "kits"),
		Entry("path that continues a prefix without its slash", "desk.example", "/kitsx", "root"),
		Entry("host in upper case", "DESK.example", "/kits/4", "kits"),
		Entry("unknown host", "other.example", "/kits/4", ""),
	)

	It("finds a team by any of its keys and none by an empty key", func() {
		team, ok := c.Team("k2")
		Expect(ok).To(BeTrue())
		Expect(team.Name).To(Equal("north"))
		_, ok = c.Team("")
		Expect(ok).To(BeFalse())
	})

	It("requires a key except on open routes, and requires none if no teams are declared", func() {
		Expect(c.NeedsKey(Route{})).To(BeTrue())
		Expect(c.NeedsKey(Route{Open: true})).To(BeFalse())
		Expect(New(1, nil, nil, nil, Limits{}).NeedsKey(Route{})).To(BeFalse())
	})

	DescribeTable("selects services by weight", func(fraction float64, service string) {
		r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
		Expect(r.ServiceOf(fraction)).To(Equal(service))
	},
		Entry("start of the first service", 0.0, "a"), Entry("end of the first service", 0.899, "a"), Entry("start of the second service", 0.9, "b"), Entry("end of the second service, before one of weight 0", 0.9999, "b"),
	)

	DescribeTable("reports which requests may run more than once", func(r Route, repeatable bool) {
		Expect(r.Repeatable()).To(Equal(repeatable))
	},
		Entry("safe", Route{Kind: KindSafe}, true),
		Entry("unsafe", Route{Kind: KindUnsafe}, false),
		Entry("a stream", Route{Kind: KindStream}, false),
		Entry("a resumable stream", Route{Kind: KindStream, Resumable: true}, true),
	)
})
