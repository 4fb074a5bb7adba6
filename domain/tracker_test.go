package domain

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/objects"
)

func TestSuite(t *testing.T) {
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

	// advance moves the clock in steps of one second. In each step the named
	// instances are heard from.
	advance := func(d time.Duration, heard ...string) {
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
	entryNames := func() []string {
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

	It("suspects instances of its own domain that are not heard from, later excludes them, and restores them on contact", func() {
		advance(limits.SuspectAfter, "near-1")
		Expect(liveness("near-2")).To(Equal(Alive))
		advance(2*time.Second, "near-1")
		Expect(liveness("near-2")).To(Equal(Suspected))
		Expect(entryNames()).To(ContainElement("near-2"))
		advance(limits.DeadAfter+time.Second, "near-1")
		Expect(liveness("near-2")).To(Equal(Dead))
		Expect(entryNames()).To(ConsistOf("self", "near-1", "far-1", "far-2"))
		advance(time.Second, "near-1", "near-2")
		Expect(entryNames()).To(ContainElement("near-2"))
	})

	It("does not suspect an unreachable instance that a peer has heard from", func() {
		for range 20 {
			now = now.Add(time.Second)
			t.RecordFailure("near-2")
			t.ApplySightings([]Sighting{{Name: "near-2", Age: 2 * time.Second}}, now)
			t.Refresh(now)
		}
		Expect(liveness("near-2")).To(Equal(Alive))
	})

	It("does not exclude the instances of another domain when none of them can be reached", func() {
		for range 200 {
			t.RecordFailure("far-1")
			t.RecordFailure("far-2")
			advance(time.Second, "near-1", "near-2")
		}
		Expect(liveness("far-1")).To(Equal(Suspected))
		Expect(entryNames()).To(HaveLen(5))
	})

	It("excludes an instance of another domain that its own domain suspects, until it is heard from", func() {
		for range 2 + int(limits.DeadAfter/time.Second) {
			t.ApplySuspicions([]Sighting{{Name: "far-1", Age: now.Sub(start)}}, now)
			advance(time.Second, "far-2")
		}
		Expect(liveness("far-1")).To(Equal(Dead))
		t.ApplySightings([]Sighting{{Name: "far-1", Age: time.Second}}, now)
		t.Refresh(now)
		Expect(liveness("far-1")).To(Equal(Alive))
	})

	It("excludes only the instances that fail when a whole rack fails", func() {
		for n := range 8 {
			list = append(list, entry(fmt.Sprint("rack-", n), "a"))
		}
		t.UpdateList(list, now)
		advance(limits.SuspectAfter+limits.DeadAfter+2*time.Second, "near-1", "near-2")
		Expect(entryNames()).To(ConsistOf("self", "near-1", "near-2", "far-1", "far-2"))
		advance(time.Second, "near-1", "near-2", "rack-3")
		Expect(entryNames()).To(ContainElement("rack-3"))
		list = list[:5]
	})

	It("ignores a reported suspicion that is older than the last contact", func() {
		advance(10*time.Second, "far-1")
		t.ApplySuspicions([]Sighting{{Name: "far-1", Age: 5 * time.Second}}, now)
		t.Refresh(now)
		Expect(liveness("far-1")).To(Equal(Alive))
	})

	It("adds an instance that is not listed yet, and deletes it if it is not heard from for ForgetAfter", func() {
		t.RecordContact(entry("new", "a"), now)
		Expect(t.Refresh(now)).To(BeTrue())
		Expect(entryNames()).To(ContainElement("new"))
		advance(limits.ForgetAfter+time.Second, "near-1")
		Expect(t.View(now).All()).NotTo(ContainElement(HaveField("Name", "new")))
	})

	It("excludes a suspected instance at once when it is no longer listed", func() {
		advance(limits.SuspectAfter+2*time.Second, "near-1", "far-1", "far-2")
		Expect(entryNames()).To(ContainElement("near-2"))
		t.UpdateList([]objects.Member{list[0], list[1], list[3], list[4]}, now)
		t.Refresh(now)
		Expect(entryNames()).NotTo(ContainElement("near-2"))
	})

	It("reports a change when a suspected instance is heard from again", func() {
		advance(limits.SuspectAfter+2*time.Second, "near-1", "far-1", "far-2")
		Expect(liveness("near-2")).To(Equal(Suspected))
		Expect(t.Refresh(now)).To(BeFalse())
		t.RecordContact(list[2], now)
		Expect(t.Refresh(now)).To(BeTrue())
		Expect(liveness("near-2")).To(Equal(Alive))
	})

	It("resets the state for a replacement with the same name, and excludes a leaving one", func() {
		advance(limits.SuspectAfter+limits.DeadAfter+2*time.Second, "near-1")
		Expect(liveness("near-2")).To(Equal(Dead))
		replacement := entry("near-2", "a")
		replacement.Peer = "elsewhere:1"
		t.UpdateList(append(list[:2:2], replacement), now)
		t.Refresh(now)
		Expect(liveness("near-2")).To(Equal(Alive))
		leaving := replacement
		leaving.Leaving = true
		t.RecordContact(leaving, now)
		Expect(entryNames()).NotTo(ContainElement("near-2"))
	})

	It("reports a bounded part of its domain per page, and all of it over several pages", func() {
		for n := range 30 {
			list = append(list, entry(fmt.Sprint("more-", n), "a"))
		}
		t.UpdateList(list, now)
		DeferCleanup(func() { list = list[:5] })
		covered := map[string]bool{}
		for page := range 8 {
			sightings := t.Sightings(page, 8, now)
			Expect(sightings).To(HaveLen(8))
			for _, s := range sightings {
				covered[s.Name] = true
			}
		}
		Expect(covered).To(HaveLen(32))
	})
})
