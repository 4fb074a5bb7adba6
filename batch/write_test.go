package batch

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/roster"
)

var _ = Describe("The results of a step", func() {
	// In a typical step without faults, half of the items complete within 0.5 s and the
	// last one after 7.8 s. Each chunk is a billed call.
	It("take at most eight chunks, and are stored without long delays near the due time", func() {
		const due = 7500 * time.Millisecond
		chunks, maxDelay := 0, time.Duration(0)
		for at := 100 * time.Millisecond; at < 7800*time.Millisecond; {
			delay := flushDelayFor(due - at) // results arrive continuously; the next one starts a chunk
			if due-at < 2*time.Second {
				maxDelay = max(maxDelay, delay)
			}
			chunks++
			at += delay + 50*time.Millisecond
		}
		Expect(chunks).To(BeNumerically("<=", 8))
		Expect(maxDelay).To(BeNumerically("<=", 600*time.Millisecond))
	})
})

var _ = Describe("A chunk that is stored while the head of its batch changes", func() {
	// The race detector ended the process: the writer read the head without the mutex. The
	// test waits without synchronisation, which would hide the race.
	It("is stored without access to the head", func(ctx SpecContext) {
		store := memstore.New()
		a := newIdleService(store, "a")
		h, err := a.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 1), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		proceed := make(chan struct{})
		store.Fault = func(string, string, bool) memstore.Fault { <-proceed; return memstore.None }
		a.runner.mu.Lock()
		a.runner.jobs["l"].recordResult(Result{ID: "l-0", State: Complete, Text: "x"})
		a.runner.mu.Unlock()
		time.Sleep(queueDelay)
		h.Version++
		a.runner.applyHead(h)
		close(proceed)
		Eventually(func() []string { return store.Names(KindChunk) }).Should(HaveLen(1))
	})

	It("is read from another writer without access to the head", func(ctx SpecContext) {
		store := memstore.New()
		a := newIdleService(store, "a")
		h, err := a.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		_, err = a.store.Append(ctx, "l", 0, completeResults("l-0"))
		Expect(err).NotTo(HaveOccurred())
		proceed := make(chan struct{})
		store.Fault = func(string, string, bool) memstore.Fault { <-proceed; return memstore.None }
		verified := make(chan error, 1)
		go func() { verified <- a.runner.verifyStored(ctx, "l") }()
		time.Sleep(queueDelay)
		h.Version++
		a.runner.applyHead(h)
		close(proceed)
		Expect(<-verified).To(Succeed())
	})

	It("does not share its head with the log of an attempt", func(ctx SpecContext) {
		a := newIdleService(memstore.New(), "a")
		h, err := a.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 1), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		j := a.runner.jobs["l"]
		q := queuedItem{job: j, state: j.items["l-0"]}
		logged := make(chan struct{})
		go func() { defer close(logged); a.runner.logItem(q, roster.Choice{}, "test") }()
		time.Sleep(queueDelay)
		h.Version++
		a.runner.applyHead(h)
		Eventually(logged).Should(BeClosed())
	})
})

var _ = Describe("The writer of a batch's results", func() {
	// A chunk that the store rejects was stored again, with more results, for good.
	It("stores what the store accepts, and abandons an item whose result it never accepts when the batch expires", func(ctx SpecContext) {
		const items, large = 8, 3
		store := memstore.New()
		a := newIdleService(store, "a")
		a.store.objects = rejectingStore{store, 4 << 10}
		_, err := a.SubmitHere(ctx, SubmitArgs{Submission: submission("l", items), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		a.runner.mu.Lock()
		for n := range items {
			bytes := 1 << 10
			if n == large {
				bytes = 5 << 10
			}
			a.runner.jobs["l"].recordResult(Result{ID: fmt.Sprint("l-", n), State: Complete, Text: strings.Repeat("x", bytes)})
		}
		a.runner.mu.Unlock()
		Eventually(func() int { return a.stored("l") }).WithTimeout(5 * time.Second).Should(Equal(items - 1))
		a.runner.mu.Lock()
		j := a.runner.jobs["l"]
		Expect(j.items).To(HaveLen(1))
		Expect(j.items["l-3"].queued()).To(BeFalse())
		a.runner.LimitsOf = func(Head) Limits { return Limits{} }
		a.runner.expireItems(j, time.Now())
		a.runner.mu.Unlock()
		Eventually(func() int { return a.stored("l") }).WithTimeout(5 * time.Second).Should(Equal(items))
	})

	It("gets no text that the store can't hold", func(ctx SpecContext) {
		a := newIdleService(memstore.New(), "a")
		_, err := a.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		a.runner.mu.Lock()
		defer a.runner.mu.Unlock()
		j := a.runner.jobs["l"]
		j.items["l-0"].appendEvent(markup(maxValueBytes/2), 0, 1)
		a.runner.recordComplete(j, j.items["l-0"])
		j.items["l-1"].appendEvent("x", 0, 1)
		a.runner.recordComplete(j, j.items["l-1"])
		Expect(j.results.PendingCount()).To(Equal(1))
		Expect(j.items).To(HaveLen(1))
		Expect(j.items["l-0"].queued()).To(BeFalse())
		Expect(j.items["l-0"].text.Len()).To(BeZero())
	})

	// It went on for good, and kept the batch in memory: three of twelve submissions were answered 503
	// for the calls of writers whose batches had ended.
	It("ends with its batch while the store does not accept results", func(ctx SpecContext) {
		store := memstore.New()
		a := newIdleService(store, "a")
		a.store.writeTimeout = 20 * time.Millisecond
		_, err := a.SubmitHere(ctx, SubmitArgs{Submission: submission("l", 2), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		var calls atomic.Int64
		store.Fault = func(kind, _ string, write bool) memstore.Fault {
			if kind != KindChunk || !write {
				return memstore.None
			}
			calls.Add(1)
			return memstore.Down
		}
		a.runner.mu.Lock()
		a.runner.jobs["l"].recordResult(Result{ID: "l-0", State: Complete, Text: "x"})
		a.runner.jobs["l"].recordResult(Result{ID: "l-1", State: Complete, Text: "x"})
		a.runner.mu.Unlock()
		Eventually(calls.Load).Should(BeNumerically(">", 0))
		a.runner.MarkEnded("l")
		ended := make(chan struct{})
		go func() { a.runner.writers.Wait(); close(ended) }()
		Eventually(ended).WithTimeout(2 * time.Second).Should(BeClosed())
		a.runner.mu.Lock()
		defer a.runner.mu.Unlock()
		Expect(a.runner.jobs["l"].fullyStored()).To(BeTrue())
	})
})
