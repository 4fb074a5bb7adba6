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
	n := network.New(count, min(benchDomains, max(1, count/2)), benchDelay)
	all := n.StartAll(ctx, notice.DefaultTiming(), mode == "watch-all")
	n.Put(1, benchBundle)
	wait(b, all, 1)
	time.Sleep(benchSettle)
	n.Reads.Store(0)
	n.Bytes.Store(0)
	time.Sleep(benchRest)
	b.ReportMetric(float64(n.Reads.Load())/benchRest.Seconds(), "platform-calls/s")
	b.ReportMetric(float64(n.Waiting.Load()), "platform-waiting")
	b.ReportMetric(2*float64(n.Bytes.Load())/benchRest.Seconds()/float64(count), "rest-B/s/instance")
	if mode == "relay-dead-watcher" {
		all = killWatchers(n, all)
	}
	n.Bytes.Store(0)
	n.PlatformBytes.Store(0)
	var spent []time.Duration
	for change := range int64(b.N) {
		started := time.Now()
		n.Put(change+2, benchBundle)
		wait(b, all, change+2)
		spent = append(spent, time.Since(started))
	}
	b.ReportMetric(float64(slices.Max(spent).Milliseconds()), "worst-ms")
	b.ReportMetric(float64(2*n.Bytes.Load()+n.PlatformBytes.Load())/float64(b.N)/float64(count), "B/change/instance")
}

func wait(b *testing.B, all []*network.Instance, revision int64) {
	reached, deadline := allAt(all, revision), time.Now().Add(time.Minute)
	for !reached() {
		if time.Now().After(deadline) {
			b.Fatal("not in force everywhere after a minute")
		}
		time.Sleep(time.Millisecond)
	}
}

// killWatchers ends a watcher of each domain and returns the rest.
func killWatchers(n *network.Network, all []*network.Instance) []*network.Instance {
	dead := map[string]*network.Instance{}
	for _, one := range all {
		if one.Watching() {
			dead[one.Self.Domain] = one
		}
	}
	for _, one := range dead {
		n.Kill(one)
	}
	return slices.DeleteFunc(all, func(one *network.Instance) bool { return dead[one.Self.Domain] == one })
}

// BenchmarkExchange measures one exchange between instances that know the same.
func BenchmarkExchange(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := network.New(330, benchDomains, 0)
	all := n.StartAll(ctx, notice.DefaultTiming(), false)
	n.Put(1, benchBundle)
	wait(b, all, 1)
	cancel()
	known := []notice.Known{{Kind: objects.KindConfig, Name: "test", Revision: 1}}
	b.ReportAllocs()
	for b.Loop() {
		m := notice.Message{From: n.Entries[12], Known: known}
		var reply notice.Message
		_ = all[0].Exchange(m, &reply)
	}
}
