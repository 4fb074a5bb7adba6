package notice

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pomelocross/pomelocross/platform"
)

const (
	benchDomains = 12
	benchBundle  = 60 << 10 // bytes of an accepted bundle at the target
	benchSettle  = 8 * time.Second
	benchRest    = 10 * time.Second
	benchDelay   = 1500 * time.Microsecond // one way between failure domains
)

// BenchmarkSpread measures what it costs to be told of changes and how long it
// takes until the last instance has one: with each instance watching, with a few
// watching and telling the rest, and with one of each domain's watchers dead a
// moment before.
func BenchmarkSpread(b *testing.B) {
	for _, mode := range []string{"watch-all", "relay", "relay-dead-watcher"} {
		for _, count := range []int{7, 30, 90, 330} {
			b.Run(fmt.Sprintf("%s/instances=%d", mode, count), func(b *testing.B) { benchSpread(b, mode, count) })
		}
	}
}

func benchSpread(b *testing.B, mode string, count int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, all := newNetwork(ctx, count, min(benchDomains, max(1, count/2)), benchDelay, DefaultTiming(), mode == "watch-all")
	n.put(1, benchBundle)
	wait(b, all, 1)
	time.Sleep(benchSettle)
	n.reads.Store(0)
	n.bytes.Store(0)
	time.Sleep(benchRest)
	b.ReportMetric(float64(n.reads.Load())/benchRest.Seconds(), "platform-calls/s")
	b.ReportMetric(float64(n.waiting.Load()), "platform-waiting")
	b.ReportMetric(2*float64(n.bytes.Load())/benchRest.Seconds()/float64(count), "rest-B/s/instance")
	if mode == "relay-dead-watcher" {
		all = n.killWatchers(all)
	}
	n.bytes.Store(0)
	n.platformBytes.Store(0)
	var spent []time.Duration
	for change := range int64(b.N) {
		started := time.Now()
		n.put(change+2, benchBundle)
		wait(b, all, change+2)
		spent = append(spent, time.Since(started))
	}
	b.ReportMetric(float64(slices.Max(spent).Milliseconds()), "worst-ms")
	b.ReportMetric(float64(2*n.bytes.Load()+n.platformBytes.Load())/float64(b.N)/float64(count), "B/change/instance")
}

func wait(b *testing.B, all []*member, revision int64) {
	reached, deadline := allAt(all, revision), time.Now().Add(time.Minute)
	for !reached() {
		if time.Now().After(deadline) {
			b.Fatal("not in force everywhere after a minute")
		}
		time.Sleep(time.Millisecond)
	}
}

// killWatchers ends the second watcher of each domain and returns the rest.
func (n *network) killWatchers(all []*member) []*member {
	dead := map[string]bool{}
	for _, name := range all[0].viewNow().Domains() {
		if ranked := ranking(all[0].viewNow(), name); len(ranked) > watcherCount {
			dead[ranked[1].Name] = true
		}
	}
	return slices.DeleteFunc(all, func(m *member) bool {
		if dead[m.Self.Name] {
			n.change(func() { delete(n.endpoints, m.Self.Peer) })
			m.stop()
		}
		return dead[m.Self.Name]
	})
}

// BenchmarkExchange measures one exchange between instances that know the same.
func BenchmarkExchange(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, all := newNetwork(ctx, 330, benchDomains, 0, DefaultTiming(), false)
	n.put(1, benchBundle)
	wait(b, all, 1)
	cancel()
	b.ReportAllocs()
	for b.Loop() {
		m := Message{From: platform.Member{Name: "entry-012", Domain: "domain-00"}, Known: all[0].book.Known()}
		var reply Message
		_ = all[0].Exchange(m, &reply)
	}
}
