package notice_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/network"
	"github.com/pomelocross/pomelocross/notice"
	"github.com/pomelocross/pomelocross/objects"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	RunSpecs(t, "Notice")
}

// fastTiming returns the default timing with all durations divided by ten.
func fastTiming() notice.Timing {
	t := notice.DefaultTiming()
	for _, d := range []*time.Duration{&t.Round, &t.CallTimeout, &t.WatchTimeout, &t.StaleAfter, &t.MinBackoff, &t.MaxBackoff, &t.MaxIdleBackoff} {
		*d /= 10
	}
	return t
}

func allAt(all []*network.Instance, revision int64) func() bool {
	return func() bool {
		for _, instance := range all {
			if instance.Revision.Load() < revision {
				return false
			}
		}
		return true
	}
}

var _ = Describe("An endpoint", func() {
	var (
		ctx context.Context
		n   *network.Network
		all []*network.Instance
	)

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		n = network.New(9, 3, 0)
		all = n.StartAll(ctx, fastTiming(), false)
		n.Put(1, 10)
		Eventually(allAt(all, 1)).Should(BeTrue())
	})

	It("receives items through peers while its domain cannot reach the platform", func() {
		n.SetFaults(network.Faults{Down: map[string]bool{"domain-01": true}})
		n.Put(2, 10)
		Eventually(allAt(all, 2)).Should(BeTrue())
	})

	DescribeTable("receives items over a partition that passes calls in one direction only", func(from, to string) {
		n.SetFaults(network.Faults{Down: map[string]bool{"domain-01": true}, Cut: map[network.Link]bool{
			{From: from, To: to}: true, {From: "domain-01", To: "domain-02"}: true, {From: "domain-02", To: "domain-01"}: true,
		}})
		n.Put(2, 10)
		Eventually(allAt(all, 2)).Should(BeTrue())
		age := func() time.Duration {
			return time.Since(all[1].CompleteUntil([]string{"domain-00", "domain-01", "domain-02"}))
		}
		Eventually(age).Should(BeNumerically("<", time.Second))
		Consistently(age, "1s").Should(BeNumerically("<", time.Second))
	},
		Entry("calls to the domain fail", "domain-00", "domain-01"),
		Entry("calls from the domain fail", "domain-01", "domain-00"),
	)

	It("retries when replies are lost, and delivers each item once", func() {
		n.SetFaults(network.Faults{LoseAnswers: 8})
		n.Put(2, 10)
		Eventually(allAt(all, 2)).Should(BeTrue())
		for _, instance := range all {
			Expect(instance.Received()).To(HaveLen(2))
		}
	})

	It("ignores older revisions and invalid values", func() {
		n.Put(5, 10)
		Eventually(allAt(all, 5)).Should(BeTrue())
		var reply notice.Message
		item := notice.Item{Kind: objects.KindConfig, Name: "test"}
		older, damaged := item, item
		older.Revision, damaged.Revision, damaged.Value = 4, 9, []byte(network.Damaged)
		Expect(all[0].Exchange(notice.Message{From: n.Entries[3], Items: []notice.Item{older, damaged}}, &reply)).To(Succeed())
		Expect(all[0].Revision.Load()).To(Equal(int64(5)))
		Expect(reply.Items).To(HaveLen(1))
	})

	It("gets its items from peers when it starts during an outage", func() {
		n.SetFaults(network.Faults{Down: map[string]bool{"domain-00": true, "domain-01": true, "domain-02": true}})
		late := n.Start(ctx, network.Entry(99, 1), fastTiming(), false)
		Eventually(late.Revision.Load).Should(Equal(int64(1)))
	})
})
