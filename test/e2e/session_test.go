package e2e

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/internal/standin/engine"
	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/operator"
)

// session records commands and calls with their output.
type session struct {
	d      *deployment
	entry  *daemon
	folder string
	text   bytes.Buffer
}

// run carries out a command as the shell would show it.
func (s *session) run(args ...string) {
	fmt.Fprintf(&s.text, "$ pomelocross %s\n", strings.Join(args, " "))
	full := append(slices.Clone(args), "--platform", s.d.platformAddress, "--admin", s.entry.admin, "--deployment", s.d.bundle.Deployment, "--timeout", "20s")
	for i := range full {
		if i > 0 && full[i-1] == "-f" {
			full[i] = filepath.Join(s.folder, full[i])
		}
	}
	err := operator.Run(context.Background(), "test", full, &s.text)
	if err != nil {
		fmt.Fprintf(&s.text, "pomelocross: %v\n", err)
	}
	fmt.Fprintf(&s.text, "exit %d\n\n", operator.ExitCode(err))
}

// file writes a bundle, or text as it is, for the commands to read.
func (s *session) file(name string, content any) {
	data, ok := content.(string)
	if !ok {
		encoded, err := yaml.Marshal(content)
		Expect(err).NotTo(HaveOccurred())
		data = string(encoded)
	}
	Expect(os.WriteFile(filepath.Join(s.folder, name), []byte(data), 0o600)).To(Succeed())
}

// request notes what a caller is answered.
func (s *session) request(key string) {
	got := s.entry.complete(key, "two rolls", 2, false)
	fmt.Fprintf(&s.text, "# a completion with key %s: status %d\n", strings.Split(key, "_")[1], got.status)
	if got.status != 200 {
		fmt.Fprintf(&s.text, "%s\n", strings.TrimSpace(got.body))
	}
	s.text.WriteString("\n")
}

var normalise = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\d[ T]\d\d:\d\d:\d\dZ`), "TIME"},
	{regexp.MustCompile(`\b(\d+(\.\d+)?(ms|s))+ ago`), "AGE ago"},
	{regexp.MustCompile(`(?m)^revision \d+ is in force at [01] of 2 .*\n`), ""}, // progress on the way
	{regexp.MustCompile(` {2,}`), "  "},
}

// matchGolden compares the session with its file; UPDATE=1 writes the file.
func (s *session) matchGolden(name string) {
	got := strings.ReplaceAll(s.text.String(), s.folder+"/", "")
	for _, n := range normalise {
		got = n.pattern.ReplaceAllString(got, n.with)
	}
	path := filepath.Join("testdata", name+".golden")
	if os.Getenv("UPDATE") != "" {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)))
}

// interposed runs a step once, between an operator's reading and its write.
type interposed struct {
	objects.Store
	once sync.Once
	step func()
}

func (i *interposed) Put(ctx context.Context, kind, name string, expect objects.Version, value any) (objects.Object, error) {
	i.once.Do(i.step)
	return i.Store.Put(ctx, kind, name, expect, value)
}

var _ = Describe("An operator's session", func() {
	var (
		d *deployment
		s *session
	)

	BeforeEach(func() {
		d = newDeployment("botiquin")
		d.addEngine("lm-1", "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond})
		a := d.startDaemon("entry-a", "mty-a", "--usage-window", "2s", "--usage-grace", "200ms")
		b := d.startDaemon("entry-b", "mty-b", "--usage-window", "2s", "--usage-grace", "200ms")
		for _, one := range []*daemon{a, b} {
			Eventually(one.knownPeers).Should(ConsistOf(a.inbound.address, b.inbound.address))
		}
		Eventually(func() int { return a.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
		s = &session{d: d, entry: a, folder: GinkgoT().TempDir()}
	})

	withTeamWeight := func(name string, weight int) *contract.Bundle {
		changed := *d.bundle
		changed.Teams = slices.Clone(changed.Teams)
		for i := range changed.Teams {
			if changed.Teams[i].Name == name {
				changed.Teams[i].Weight = weight
			}
		}
		return &changed
	}
	withKeys := func(change func([]contract.Key) []contract.Key) *contract.Bundle {
		changed := *d.bundle
		changed.Keys = change(slices.Clone(changed.Keys))
		return &changed
	}

	It("applies a change", func() {
		s.file("next.yaml", withTeamWeight("fabricas", 9))
		s.run("validate", "-f", "next.yaml")
		s.run("diff", "-f", "next.yaml")
		s.run("apply", "--wait", "--by", "ana", "-f", "next.yaml")
		s.run("apply", "--by", "ana", "-f", "next.yaml")
		s.run("history")
		s.run("explain", "--key-id", "fabricas", "--method", "POST", "--path", "/v1/completions")
		s.run("explain", "--key-id", "nobody", "--method", "POST", "--path", "/orders")
		s.matchGolden("apply")
	})

	It("refuses a bad bundle whole", func() {
		bad := withTeamWeight("fabricas", 5000)
		bad.Keys = append(slices.Clone(bad.Keys), contract.Key{ID: "a_b", Team: "none", Hash: "plain"})
		s.file("bad.yaml", bad)
		s.file("broken.yaml", "version: 1\nteams: [\n")
		s.file("unknown.yaml", "version: 1\nteams:\n  - {name: a, weight: 1, color: red}\n")
		s.run("apply", "-f", "bad.yaml")
		s.run("apply", "-f", "broken.yaml")
		s.run("apply", "-o", "json", "-f", "unknown.yaml")
		s.run("apply", "-f", "missing.yaml")
		s.run("history")
		s.matchGolden("bad-apply")
	})

	It("refuses a bundle beyond the platform's limit", func() {
		large := withKeys(func(keys []contract.Key) []contract.Key {
			for n := range 9000 {
				keys = append(keys, contract.Key{ID: fmt.Sprintf("k%d", n), Team: "audits", Hash: keys[0].Hash})
			}
			return keys
		})
		s.file("large.yaml", large)
		s.run("apply", "-f", "large.yaml")
		Expect(s.text.String()).To(MatchRegexp(`takes \d{7} bytes as the platform stores it; the limit is 1048576\nexit 2`))
	})

	It("tells one of two racing operators that the other was first", func() {
		luz := &operator.Operator{Out: &s.text, Store: &interposed{Store: d.store(), step: func() {
			s.file("ana.yaml", withTeamWeight("fabricas", 9))
			s.run("apply", "--by", "ana", "-f", "ana.yaml")
		}}}
		_, err := luz.Apply(context.Background(), withTeamWeight("escuelas", 5), "luz")
		fmt.Fprintf(&s.text, "# luz had read the revision before\npomelocross: %v\nexit %d\n\n", err, operator.ExitCode(err))
		s.file("luz.yaml", func() *contract.Bundle {
			d.bundle = withTeamWeight("fabricas", 9)
			return withTeamWeight("escuelas", 5)
		}())
		s.run("diff", "-f", "luz.yaml")
		s.run("apply", "--by", "luz", "-f", "luz.yaml")
		s.run("history")
		s.matchGolden("racing")
	})

	It("grants and withdraws a key", func() {
		presented, hash, err := contract.NewKey("taller")
		Expect(err).NotTo(HaveOccurred())
		s.request(presented)
		s.file("granted.yaml", withKeys(func(keys []contract.Key) []contract.Key {
			return append(keys, contract.Key{ID: "taller", Team: "centros", Hash: hash})
		}))
		s.run("apply", "--wait", "--by", "ana", "-f", "granted.yaml")
		s.request(presented)
		s.file("withdrawn.yaml", d.bundle)
		s.run("diff", "-f", "withdrawn.yaml")
		s.run("apply", "--wait", "--by", "ana", "-f", "withdrawn.yaml")
		s.request(presented)
		s.run("history")
		s.matchGolden("key")
	})

	It("settles an apply whose answer was lost, and records it once", func() {
		d.platform.SetFaults(standin.Faults{LoseAnswers: 2})
		accepted := d.apply(withTeamWeight("fabricas", 9))
		Expect(accepted.Revision).To(Equal(contract.Revision(2)))
		entries, err := (&operator.Operator{Store: d.store()}).History(context.Background(), d.bundle.Deployment)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(2))
	})

	It("lets exactly one of many operators win each revision, and loses nothing", func() {
		var racing sync.WaitGroup
		won := make(chan contract.Revision, 64)
		for n := range 8 {
			racing.Go(func() {
				defer GinkgoRecover()
				o := &operator.Operator{Store: d.store(), Out: &bytes.Buffer{}}
				accepted, err := o.Apply(context.Background(), withTeamWeight("fabricas", 10+n), fmt.Sprint("operator-", n))
				if err == nil {
					won <- accepted.Revision
					return
				}
				Expect(operator.ExitCode(err)).To(Equal(operator.ExitConflict))
			})
		}
		racing.Wait()
		close(won)
		var revisions []contract.Revision
		for r := range won {
			revisions = append(revisions, r)
		}
		slices.Sort(revisions)
		entries, err := (&operator.Operator{Store: d.store()}).History(context.Background(), d.bundle.Deployment)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(1 + len(revisions)))
		for i, r := range revisions {
			Expect(r).To(Equal(contract.Revision(i + 2)))
		}
	})

	It("names the instances and domains that lag", func() {
		b := d.daemons["entry-b"]
		b.platform.setCut(true)
		b.inbound.setCut(true)
		s.entry.inbound.setCut(true)
		s.file("next.yaml", withTeamWeight("fabricas", 9))
		o := &operator.Operator{Admin: s.entry.admin, Store: d.store(), Out: &s.text}
		accepted, err := o.Apply(context.Background(), withTeamWeight("fabricas", 9), "ana")
		Expect(err).NotTo(HaveOccurred())
		reached, err := o.WaitInForce(within(5*time.Second), accepted.Revision)
		Expect(operator.ExitCode(err)).To(Equal(operator.ExitLagging))
		Expect(err).To(MatchError(ContainSubstring("in force at 1 of 2 instances; cut off: mty-b")))
		Expect(reached.CutOff).To(Equal([]string{"mty-b"}))
	})

	It("moves a key between teams while its stream runs: each team is charged for its own", func() {
		ended := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			ended <- s.entry.complete(demoKey("escuelas"), "long", 100000, true)
		}()
		Eventually(func() int { return len(d.engines["lm-1"].Record().Requests) }).Should(BeNumerically(">", 1))
		d.apply(withKeys(func(keys []contract.Key) []contract.Key {
			for i := range keys {
				if keys[i].ID == "escuelas" {
					keys[i].Team = "centros"
				}
			}
			return keys
		}))
		var got answer
		Eventually(ended, inForceWithin).Should(Receive(&got))
		Expect(got.body).To(ContainSubstring("key_refused"))
		Expect(s.entry.complete(demoKey("escuelas"), "x", 7, false).status).To(Equal(200))
		Eventually(func() int64 { return reportedTokens(d, "centros") }).Should(Equal(int64(7)))
		Eventually(func() int64 { return reportedTokens(d, "escuelas") }).Should(BeNumerically(">", 0))
	})

	It("refuses a key of another deployment", func() {
		Expect(s.entry.complete(demoKey("matcher"), "x", 1, false).status).To(Equal(401))
		Expect(s.entry.complete("pmx_fabricas_demoother", "x", 1, false).status).To(Equal(401))
	})
})
