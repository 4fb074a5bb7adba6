package domain

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/objects"
)

func TestDomain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Domain")
}

func entry(name, domain string) objects.Member {
	return objects.Member{Name: name, Role: objects.RoleEntry, Domain: domain, Peer: name + ":1"}
}

var _ = Describe("A tracker", func() {
	var (
		t      *Tracker
		start  = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		now    time.Time
		limits = DefaultLimits()
		list   = []objects.Member{entry("self", "a"), entry("near-1", "a"), entry("near-2", "a"), entry("far-1", "b"), entry("far-2", "b")}
	)

	// pass lets time go by in steps of a second, with those heard that are named.
	pass := func(d time.Duration, heard ...string) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(time.Second)
			for _, m := range list {
				for _, name := range heard {
					if m.Name == name {
						t.RecordContact(m, now)
					}
				}
			}
			t.Refresh(now)
		}
	}
	names := func() []string {
		var all []string
		for _, m := range t.View(now).Entries() {
			all = append(all, m.Name)
		}
		return all
	}
	liveness := func(name string) Liveness { return t.View(now).Liveness(name) }

	BeforeEach(func() {
		now = start
		t = NewTracker(list[0], limits)
		t.UpdateList(list, now)
	})

	It("suspects silent instances of its own domain, drops them later, and takes them back", func() {
		pass(limits.Suspect, "near-1")
		Expect(liveness("near-2")).To(Equal(Alive))
		pass(2*time.Second, "near-1")
		Expect(liveness("near-2")).To(Equal(Suspected))
		Expect(names()).To(ContainElement("near-2"))
		pass(limits.Dead+time.Second, "near-1")
		Expect(liveness("near-2")).To(Equal(Dead))
		Expect(names()).To(ConsistOf("self", "near-1", "far-1", "far-2"))
		pass(time.Second, "near-1", "near-2")
		Expect(names()).To(ContainElement("near-2"))
	})

	It("believes a peer that has heard an instance which it cannot hear itself", func() {
		for range 20 {
			now = now.Add(time.Second)
			t.RecordFailure("near-2")
			t.ApplySightings([]Sighting{{Name: "near-2", Age: 2 * time.Second}}, now)
			t.Refresh(now)
		}
		Expect(liveness("near-2")).To(Equal(Alive))
	})

	It("takes the silence of another domain for a cut, not for the death of its instances", func() {
		for range 200 {
			t.RecordFailure("far-1")
			t.RecordFailure("far-2")
			pass(time.Second, "near-1", "near-2")
		}
		Expect(liveness("far-1")).To(Equal(Suspected))
		Expect(names()).To(HaveLen(5))
	})

	It("drops an instance of another domain that its own domain misses, until it is heard", func() {
		for range 2 + int(limits.Dead/time.Second) {
			t.ApplySuspicions([]Sighting{{Name: "far-1", Age: now.Sub(start)}}, now)
			pass(time.Second, "far-2")
		}
		Expect(liveness("far-1")).To(Equal(Dead))
		t.ApplySightings([]Sighting{{Name: "far-1", Age: time.Second}}, now)
		t.Refresh(now)
		Expect(liveness("far-1")).To(Equal(Alive))
	})

	It("misses a rack that goes at once, and no other", func() {
		for n := range 8 {
			list = append(list, entry(fmt.Sprint("rack-", n), "a"))
		}
		t.UpdateList(list, now)
		pass(limits.Suspect+limits.Dead+2*time.Second, "near-1", "near-2")
		Expect(names()).To(ConsistOf("self", "near-1", "near-2", "far-1", "far-2"))
		pass(time.Second, "near-1", "near-2", "rack-3")
		Expect(names()).To(ContainElement("rack-3"))
		list = list[:5]
	})

	It("does not believe an accusation that is older than what was heard", func() {
		pass(10*time.Second, "far-1")
		t.ApplySuspicions([]Sighting{{Name: "far-1", Age: 5 * time.Second}}, now)
		t.Refresh(now)
		Expect(liveness("far-1")).To(Equal(Alive))
	})

	It("knows an instance before the list does, and forgets one that left the list", func() {
		t.RecordContact(entry("new", "a"), now)
		Expect(t.Refresh(now)).To(BeTrue())
		Expect(names()).To(ContainElement("new"))
		pass(limits.Forget+time.Second, "near-1")
		Expect(t.View(now).All()).NotTo(ContainElement(HaveField("Name", "new")))
	})

	It("drops a silent instance at once when the list does not have it either", func() {
		pass(limits.Suspect+2*time.Second, "near-1", "far-1", "far-2")
		Expect(names()).To(ContainElement("near-2"))
		t.UpdateList([]objects.Member{list[0], list[1], list[3], list[4]}, now)
		t.Refresh(now)
		Expect(names()).NotTo(ContainElement("near-2"))
	})

	It("reports a change when a suspected instance is heard again", func() {
		pass(limits.Suspect+2*time.Second, "near-1", "far-1", "far-2")
		Expect(liveness("near-2")).To(Equal(Suspected))
		Expect(t.Refresh(now)).To(BeFalse())
		t.RecordContact(list[2], now)
		Expect(t.Refresh(now)).To(BeTrue())
		Expect(liveness("near-2")).To(Equal(Alive))
	})

	It("starts afresh with a replacement under the same name, and heeds one that leaves", func() {
		pass(limits.Suspect+limits.Dead+2*time.Second, "near-1")
		Expect(liveness("near-2")).To(Equal(Dead))
		replaced := entry("near-2", "a")
		replaced.Peer = "elsewhere:1"
		t.UpdateList(append(list[:2:2], replaced), now)
		t.Refresh(now)
		Expect(liveness("near-2")).To(Equal(Alive))
		leaving := replaced
		leaving.Leaving = true
		t.RecordContact(leaving, now)
		Expect(names()).NotTo(ContainElement("near-2"))
	})

	It("tells a bounded part of its domain, turn by turn all of it", func() {
		for n := range 30 {
			list = append(list, entry(fmt.Sprint("more-", n), "a"))
		}
		t.UpdateList(list, now)
		DeferCleanup(func() { list = list[:5] })
		told := map[string]bool{}
		for turn := range 8 {
			part := t.Sightings(turn, 8, now)
			Expect(part).To(HaveLen(8))
			for _, s := range part {
				told[s.Name] = true
			}
		}
		Expect(told).To(HaveLen(32))
	})
})
