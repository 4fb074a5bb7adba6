package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The paths of changes from the store", func() {
	DescribeTable("take less than the bound of their kind, whatever happens to the sources",
		func(bound time.Duration, strictRevoke bool) {
			s := &Settings{LeaveBound: bound, ConfigBound: bound, ContactBound: bound, EvacuationBound: bound, StrictRevoke: strictRevoke, RevokeBound: 5 * time.Second}
			for kind, p := range s.propagationPaths() {
				Expect(p.bound).To(Equal(bound), kind)
				Expect(p.worst()).To(BeNumerically("<", bound), kind)
				Expect(p.maxAge).To(BeNumerically(">", p.sourceWait+p.sourcePause), "%s: a source that responds must not refuse its readers", kind)
			}
		},
		Entry("1 s", time.Second, false),
		Entry("2 s", 2*time.Second, false),
		Entry("2 s, strict revocation", 2*time.Second, true),
		Entry("3 s", 3*time.Second, false),
		Entry("4 s", 4*time.Second, false),
		Entry("8 s", 8*time.Second, false),
		Entry("30 s", 30*time.Second, false),
	)

	It("are those that the sources and their readers use", func() {
		s := &Settings{LeaveBound: 2 * time.Second, ConfigBound: 2 * time.Second, ContactBound: 3 * time.Second, EvacuationBound: 5 * time.Second}
		paths := s.propagationPaths()
		for _, k := range feedKinds(s) {
			if p, bounded := paths[k.Kind]; bounded {
				Expect([]time.Duration{k.Wait, k.Pause, k.MaxAge}).To(Equal([]time.Duration{p.sourceWait, p.sourcePause, p.maxAge}), k.Kind)
			}
		}
	})
})
