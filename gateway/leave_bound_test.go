package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/link"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/platform/standin"
)

// scriptedSource is an instance that other instances query for the objects they follow. It
// passes queries on to the store, but those for registrations to script, if set.
type scriptedSource struct {
	store   *platform.Store
	address string
	script  atomic.Pointer[func(FeedArgs) FeedReply]
}

// Read serves a query.
func (s *scriptedSource) Read(args FeedArgs, reply *FeedReply) error {
	if script := s.script.Load(); script != nil && args.Kind == platform.KindServers {
		*reply = (*script)(args)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+time.Second)
	defer cancel()
	var err error
	switch {
	case args.Name != "":
		reply.NotFollowed = true
	case args.After == 0:
		reply.List, err = s.store.List(ctx, args.Kind)
	default:
		reply.List, err = s.store.Watch(ctx, args.Kind, args.After, args.Wait)
	}
	reply.Code = objects.RelayCodeOf(err)
	return nil
}

// unchanged is the reply of a source that has heard of no change.
func unchanged(args FeedArgs, age time.Duration) FeedReply {
	return FeedReply{List: objects.List{Version: args.After}, Age: age, Held: args.Wait}
}

// never blocks a query until the caller has given up.
func never(FeedArgs) FeedReply {
	time.Sleep(maxScriptedHang)
	return FeedReply{Code: objects.RelayRefused}
}

const maxScriptedHang = 8 * time.Second

// startSource serves a scripted source in failure domain a until the test ends.
func (d *deployment) startSource(name string) *scriptedSource {
	s := &scriptedSource{store: platform.NewStore(d.storeAddress, silentCounter{})}
	identity, err := link.NewIdentity("test", "0123456789abcdef")
	Expect(err).NotTo(HaveOccurred())
	server := link.NewServer(identity)
	Expect(server.Register("Feed", s)).To(Succeed())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.address = listener.Addr().String()
	go func() { _ = server.Serve(listener, func(error) {}) }() // ends when the test closes the server
	DeferCleanup(server.Close)
	d.store.Set(kindInstances, name, instanceRecord{Peer: s.address, Domain: "a"})
	return s
}

// silentCounter counts nothing.
type silentCounter struct{}

func (silentCounter) Add(string, error) {}

// orderedNames returns names in the order in which instances of a failure domain query
// each other.
func orderedNames(count int) []string {
	var names []string
	for n := 0; len(names) < count; n++ {
		name := fmt.Sprint("entry-", n)
		if len(names) == 0 || xxhash.Sum64String(name) > xxhash.Sum64String(names[len(names)-1]) {
			names = append(names, name)
		}
	}
	return names
}

// keepCalling sends requests to an instance from several callers until the returned
// function is called.
func keepCalling(address string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for range 2 {
		callers.Go(func() {
			for ctx.Err() == nil {
				status("POST", address, "/kits/4", northKey, nil)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// expectNoLateArrival checks that no request reached an engine later than bound after at.
func expectNoLateArrival(e *standin.Engine, at time.Time, bound time.Duration) {
	time.Sleep(time.Until(at.Add(2 * bound)))
	runs := e.Runs()
	last := runs[len(runs)-1].At.Sub(at)
	AddReportEntry("last arrival", last.String())
	Expect(last).To(BeNumerically("<", bound))
}

var _ = Describe("An upstream of which the store has confirmed that it leaves", func() {
	const bound = 2 * time.Second
	var (
		d             *deployment
		first, second *scriptedSource
		reader        *testInstance
		address       string
	)

	BeforeEach(func() {
		d = newDeployment(0, 0)
		address = serve(d.desk)
		d.store.Set("servers", d.desk.ID, d.desk.Registration(address, "a", "ready"))
		names := orderedNames(3)
		first, second = d.startSource(names[0]), d.startSource(names[1])
		reader = d.start(names[2], func(s *Settings) { s.LeaveBound = bound })
		Eventually(func() []string { return reader.membership.domainPeers() }).WithTimeout(5 * time.Second).Should(HaveLen(3))
		DeferCleanup(keepCalling(reader.address))
		Eventually(d.desk.Runs).WithTimeout(3 * time.Second).ShouldNot(BeEmpty())
	})

	leave := func() time.Time {
		d.store.Set("servers", d.desk.ID, d.desk.Registration(address, "a", "draining"))
		return time.Now()
	}
	registrations := func() objects.CacheKind { return reader.feed.kinds[platform.KindServers] }

	// A source pauses between two reads of the store. It stopped responding just before it
	// would have read the change, and its readers waited for their queries to time out.
	It("gets no request after the bound if the source stops responding before it reads the change", func() {
		var left atomic.Pointer[time.Time]
		script := func(args FeedArgs) FeedReply {
			at := left.Load()
			if at == nil {
				time.Sleep(50 * time.Millisecond)
				return unchanged(args, 0)
			}
			pause := registrations().Pause
			time.Sleep(time.Until(at.Add(pause - reader.serversPause())))
			if time.Since(*at) >= pause {
				return never(args)
			}
			return unchanged(args, time.Since(*at))
		}
		first.script.Store(&script)
		time.Sleep(time.Second) // the reader follows the scripted source
		at := leave()
		left.Store(&at)
		expectNoLateArrival(d.desk, at, bound)
	})

	// The first source lost the store just before the change and refused its readers only
	// when its state was too old. They went to the next source, which did not respond.
	It("gets no request after the bound if the first source has lost the store and the next does not respond", func() {
		var left atomic.Pointer[time.Time]
		script := func(args FeedArgs) FeedReply {
			at, asked := left.Load(), time.Now()
			for time.Since(asked) < args.Wait || at == nil {
				if at = left.Load(); at != nil && time.Since(*at) >= registrations().MaxAge {
					return FeedReply{Code: objects.RelayRefused}
				}
				if at == nil && time.Since(asked) >= args.Wait {
					return unchanged(args, 0)
				}
				time.Sleep(5 * time.Millisecond)
			}
			return unchanged(args, time.Since(*at))
		}
		first.script.Store(&script)
		hang := never
		second.script.Store(&hang)
		time.Sleep(time.Second) // the reader follows the scripted source
		at := leave()
		left.Store(&at)
		expectNoLateArrival(d.desk, at, bound)
	})
})

var _ = Describe("An upstream whose registration the store has removed", func() {
	// A watch was refused, as the store does above its rate limit. The removal of a registration
	// shortly after was taken for a consequence of an outage.
	It("gets no request after the bound if a watch was refused before", func() {
		const bound = 2 * time.Second
		d := newDeployment(0, 0)
		reader := d.start("entry-1", func(s *Settings) { s.LeaveBound = bound })
		DeferCleanup(keepCalling(reader.address))
		Eventually(d.desk.Runs).WithTimeout(3 * time.Second).ShouldNot(BeEmpty())
		var refused atomic.Bool
		d.store.SetFault(func(r *http.Request) standin.Fault {
			if r.URL.Query().Get("Watch") != "" && refused.CompareAndSwap(false, true) {
				return standin.Unavailable
			}
			return standin.None
		})
		Eventually(refused.Load).WithTimeout(3 * time.Second).Should(BeTrue())
		time.Sleep(100 * time.Millisecond)
		d.store.Remove("servers", d.desk.ID)
		expectNoLateArrival(d.desk, time.Now(), bound)
	})

	// The instances reach the store again one after the other, and each ends the calls that it
	// had others relay. These ends were taken for an outage that lasts.
	It("gets no request after the bound from any instance if the store was lost until shortly before", func() {
		const bound, outage, contact = 2 * time.Second, 6 * time.Second, 3 * time.Second
		d := newDeployment(0, 0)
		for n, domain := range []string{"a", "b", "c"} {
			reader := d.start(fmt.Sprint("entry-", n), func(s *Settings) { s.LeaveBound, s.LeaseBound, s.Domain = bound, 3*time.Second, domain })
			DeferCleanup(keepCalling(reader.address))
		}
		Eventually(d.desk.Runs).WithTimeout(3 * time.Second).ShouldNot(BeEmpty())
		d.store.SetFault(func(*http.Request) standin.Fault { return standin.NoReply })
		time.Sleep(outage)
		d.store.SetFault(nil)
		time.Sleep(contact)
		d.store.Remove("servers", d.desk.ID)
		expectNoLateArrival(d.desk, time.Now(), bound)
	})
})
