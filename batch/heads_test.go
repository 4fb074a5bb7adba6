package batch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
)

var _ = Describe("Recent owners", func() {
	It("are those of batches submitted lately, ended or not, each once", func(ctx SpecContext) {
		store := memstore.New()
		now := time.Now()
		for id, h := range map[string]Head{
			"l0": {Peer: "a:1", Submitted: now.UnixMilli()},
			"l1": {Peer: "a:1", Submitted: now.Add(-time.Second).UnixMilli(), Ended: true},
			"l2": {Peer: "b:1", Submitted: now.Add(-time.Hour).UnixMilli()},
			"l3": {Submitted: now.UnixMilli()},
		} {
			_, err := store.Put(ctx, KindHead, id, 0, h)
			Expect(err).NotTo(HaveOccurred())
		}
		heads, err := store.List(ctx, KindHead)
		Expect(err).NotTo(HaveOccurred())
		Expect(RecentOwners(heads.Objects, now.Add(-time.Minute))).To(Equal([]string{"a:1"}))
	})
})
