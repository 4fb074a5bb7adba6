package notice_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pomelocross/pomelocross/internal/standin/network"
	"github.com/pomelocross/pomelocross/notice"
	"github.com/pomelocross/pomelocross/objects"
)

const (
	benchDomains = 12
	benchBundle  = 60 << 10 // size in bytes of an accepted bundle at the target scale
	benchWarmup  = 8 * time.Second
	benchIdle    = 10 * time.Second
	benchDelay   = 1500 * time.Microsecond // one way between failure domains
)

// BenchmarkSpread measures the cost of distributing a change and the time until all
// instances have it: with every instance watching the platform, with a few watchers
// that forward to the rest, and with one watcher of each domain killed just before
// the changes.
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
	n := network.New(count, min(benchDomains, max(1, count/2)), benchDelay)
	all := n.StartAll(ctx, notice.DefaultTiming(), mode == "watch-all")
	n.Put(1, benchBundle)
	wait(b, all, 1)
	time.Sleep(benchWarmup)
	n.Reads.Store(0)
	n.Bytes.Store(0)
	time.Sleep(benchIdle)
	b.ReportMetric(float64(n.Reads.Load())/benchIdle.Seconds(), "platform-calls/s")
	b.ReportMetric(float64(n.Waiting.Load()), "platform-waiting")
	b.ReportMetric(2*float64(n.Bytes.Load())/benchIdle.Seconds()/float64(count), "rest-B/s/instance")
	if mode == "relay-dead-watcher" {
		all = killWatchers(n, all)
	}
	n.Bytes.Store(0)
	n.PlatformBytes.Store(0)
	var latencies []time.Duration
	for change := range int64(b.N) {
		started := time.Now()
		n.Put(change+2, benchBundle)
		wait(b, all, change+2)
		latencies = append(latencies, time.Since(started))
	}
	b.ReportMetric(float64(slices.Max(latencies).Milliseconds()), "worst-ms")
	b.ReportMetric(float64(2*n.Bytes.Load()+n.PlatformBytes.Load())/float64(b.N)/float64(count), "B/change/instance")
}

func wait(b *testing.B, all []*network.Instance, revision int64) {
	reached, deadline := allAt(all, revision), time.Now().Add(time.Minute)
	for !reached() {
		if time.Now().After(deadline) {
			b.Fatal("an instance lacks the revision after a minute")
		}
		time.Sleep(time.Millisecond)
	}
}

// killWatchers kills one watcher of each domain and returns the other instances.
func killWatchers(n *network.Network, all []*network.Instance) []*network.Instance {
	killed := map[string]*network.Instance{}
	for _, instance := range all {
		if instance.Watching() {
			killed[instance.Self.Domain] = instance
		}
	}
	for _, instance := range killed {
		n.Kill(instance)
	}
	return slices.DeleteFunc(all, func(instance *network.Instance) bool { return killed[instance.Self.Domain] == instance })
}

// BenchmarkExchange measures an exchange between instances with the same items.
func BenchmarkExchange(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := network.New(330, benchDomains, 0)
	all := n.StartAll(ctx, notice.DefaultTiming(), false)
	n.Put(1, benchBundle)
	wait(b, all, 1)
	cancel()
	known := []notice.ItemRevision{{Kind: objects.KindConfig, Name: "test", Revision: 1}}
	b.ReportAllocs()
	for b.Loop() {
		m := notice.Message{From: n.Entries[12], Known: known}
		var reply notice.Message
		_ = all[0].Exchange(m, &reply)
	}
}
