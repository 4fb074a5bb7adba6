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

// session records operator commands and requests with their output.
type session struct {
	d          *deployment
	entry      *daemon
	folder     string
	transcript bytes.Buffer
}

// runCommand runs a command and records it with its output and exit code.
func (s *session) runCommand(args ...string) {
	fmt.Fprintf(&s.transcript, "$ pomelocross %s\n", strings.Join(args, " "))
	full := append(slices.Clone(args), "--platform", s.d.platformAddress, "--admin", s.entry.admin, "--deployment", s.d.bundle.Deployment, "--timeout", "20s")
	for i := range full {
		if i > 0 && full[i-1] == "-f" {
			full[i] = filepath.Join(s.folder, full[i])
		}
	}
	err := operator.Run(context.Background(), "test", full, &s.transcript)
	if err != nil {
		fmt.Fprintf(&s.transcript, "pomelocross: %v\n", err)
	}
	fmt.Fprintf(&s.transcript, "exit %d\n\n", operator.ExitCode(err))
}

// writeFile writes a file for the commands: text as it is, other content as YAML.
func (s *session) writeFile(name string, content any) {
	data, ok := content.(string)
	if !ok {
		encoded, err := yaml.Marshal(content)
		Expect(err).NotTo(HaveOccurred())
		data = string(encoded)
	}
	Expect(os.WriteFile(filepath.Join(s.folder, name), []byte(data), 0o600)).To(Succeed())
}

// recordCompletion requests a completion and records its status, and its body if it
// failed.
func (s *session) recordCompletion(key string) {
	got := s.entry.complete(key, "two rolls", 2, false)
	fmt.Fprintf(&s.transcript, "# a completion with key %s: status %d\n", strings.Split(key, "_")[1], got.status)
	if got.status != 200 {
		fmt.Fprintf(&s.transcript, "%s\n", strings.TrimSpace(got.body))
	}
	s.transcript.WriteString("\n")
}

// normalisations replace the parts of a transcript that vary between runs.
var normalisations = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\d[ T]\d\d:\d\d:\d\dZ`), "TIME"},
	{regexp.MustCompile(`\b(\d+(\.\d+)?(ms|s))+ ago`), "AGE ago"},
	{regexp.MustCompile(`(?m)^revision \d+ is in force at [01] of 2 .*\n`), ""}, // intermediate progress
	{regexp.MustCompile(` {2,}`), "  "},
}

// matchGolden compares the transcript with a golden file; UPDATE=1 writes the file.
func (s *session) matchGolden(name string) {
	got := strings.ReplaceAll(s.transcript.String(), s.folder+"/", "")
	for _, n := range normalisations {
		got = n.pattern.ReplaceAllString(got, n.replacement)
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

// interruptedStore calls beforePut once before the first write, which is after the
// operator has read the current revision.
type interruptedStore struct {
	objects.Store
	once      sync.Once
	beforePut func()
}

func (i *interruptedStore) Put(ctx context.Context, kind, name string, expect objects.Version, value any) (objects.Object, error) {
	i.once.Do(i.beforePut)
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
		for _, inst := range []*daemon{a, b} {
			Eventually(inst.knownPeers).Should(ConsistOf(a.peerRelay.address, b.peerRelay.address))
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
		s.writeFile("next.yaml", withTeamWeight("fabricas", 9))
		s.runCommand("validate", "-f", "next.yaml")
		s.runCommand("diff", "-f", "next.yaml")
		s.runCommand("apply", "--wait", "--by", "ana", "-f", "next.yaml")
		s.runCommand("apply", "--by", "ana", "-f", "next.yaml")
		s.runCommand("history")
		s.runCommand("explain", "--key-id", "fabricas", "--method", "POST", "--path", "/v1/completions")
		s.runCommand("explain", "--key-id", "nobody", "--method", "POST", "--path", "/orders")
		s.matchGolden("apply")
	})

	It("rejects an invalid bundle as a whole", func() {
		bad := withTeamWeight("fabricas", 5000)
		bad.Keys = append(slices.Clone(bad.Keys), contract.Key{ID: "a_b", Team: "none", Hash: "plain"})
		s.writeFile("bad.yaml", bad)
		s.writeFile("broken.yaml", "version: 1\nteams: [\n")
		s.writeFile("unknown.yaml", "version: 1\nteams:\n  - {name: a, weight: 1, color: red}\n")
		s.runCommand("apply", "-f", "bad.yaml")
		s.runCommand("apply", "-f", "broken.yaml")
		s.runCommand("apply", "-o", "json", "-f", "unknown.yaml")
		s.runCommand("apply", "-f", "missing.yaml")
		s.runCommand("history")
		s.matchGolden("bad-apply")
	})

	It("rejects a bundle larger than the limit of the platform", func() {
		large := withKeys(func(keys []contract.Key) []contract.Key {
			for n := range 9000 {
				keys = append(keys, contract.Key{ID: fmt.Sprintf("k%d", n), Team: "audits", Hash: keys[0].Hash})
			}
			return keys
		})
		s.writeFile("large.yaml", large)
		s.runCommand("apply", "-f", "large.yaml")
		Expect(s.transcript.String()).To(MatchRegexp(`takes \d{7} bytes as the platform stores it; the limit is 1048576\nexit 2`))
	})

	It("reports a conflict to the slower of two concurrent operators", func() {
		luz := &operator.Operator{Out: &s.transcript, Store: &interruptedStore{Store: d.store(), beforePut: func() {
			s.writeFile("ana.yaml", withTeamWeight("fabricas", 9))
			s.runCommand("apply", "--by", "ana", "-f", "ana.yaml")
		}}}
		_, err := luz.Apply(context.Background(), withTeamWeight("escuelas", 5), "luz")
		fmt.Fprintf(&s.transcript, "# luz had read the revision before\npomelocross: %v\nexit %d\n\n", err, operator.ExitCode(err))
		s.writeFile("luz.yaml", func() *contract.Bundle {
			d.bundle = withTeamWeight("fabricas", 9)
			return withTeamWeight("escuelas", 5)
		}())
		s.runCommand("diff", "-f", "luz.yaml")
		s.runCommand("apply", "--by", "luz", "-f", "luz.yaml")
		s.runCommand("history")
		s.matchGolden("racing")
	})

	It("grants and withdraws a key", func() {
		presented, hash, err := contract.NewKey("taller")
		Expect(err).NotTo(HaveOccurred())
		s.recordCompletion(presented)
		s.writeFile("granted.yaml", withKeys(func(keys []contract.Key) []contract.Key {
			return append(keys, contract.Key{ID: "taller", Team: "centros", Hash: hash})
		}))
		s.runCommand("apply", "--wait", "--by", "ana", "-f", "granted.yaml")
		s.recordCompletion(presented)
		s.writeFile("withdrawn.yaml", d.bundle)
		s.runCommand("diff", "-f", "withdrawn.yaml")
		s.runCommand("apply", "--wait", "--by", "ana", "-f", "withdrawn.yaml")
		s.recordCompletion(presented)
		s.runCommand("history")
		s.matchGolden("key")
	})

	It("completes an apply whose response was lost, and records it once", func() {
		d.platform.SetFaults(standin.Faults{LoseAnswers: 2})
		accepted := d.apply(withTeamWeight("fabricas", 9))
		Expect(accepted.Revision).To(Equal(contract.Revision(2)))
		entries, err := (&operator.Operator{Store: d.store()}).History(context.Background(), d.bundle.Deployment)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(2))
	})

	It("gives each revision to exactly one of many concurrent operators and loses none", func() {
		var wg sync.WaitGroup
		won := make(chan contract.Revision, 64)
		for n := range 8 {
			wg.Go(func() {
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
		wg.Wait()
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

	It("reports instances and domains that lag", func() {
		b := d.daemons["entry-b"]
		b.platformRelay.setDisconnected(true)
		b.peerRelay.setDisconnected(true)
		s.entry.peerRelay.setDisconnected(true)
		s.writeFile("next.yaml", withTeamWeight("fabricas", 9))
		o := &operator.Operator{Admin: s.entry.admin, Store: d.store(), Out: &s.transcript}
		accepted, err := o.Apply(context.Background(), withTeamWeight("fabricas", 9), "ana")
		Expect(err).NotTo(HaveOccurred())
		reached, err := o.WaitInForce(timeoutContext(5*time.Second), accepted.Revision)
		Expect(operator.ExitCode(err)).To(Equal(operator.ExitLagging))
		Expect(err).To(MatchError(ContainSubstring("in force at 1 of 2 instances; cut off: mty-b")))
		Expect(reached.CutOff).To(Equal([]string{"mty-b"}))
	})

	It("moves a key between teams during a stream and charges each team for its own usage", func() {
		done := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			done <- s.entry.complete(demoKey("escuelas"), "long", 100000, true)
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
		var got response
		Eventually(done, inForceTimeout).Should(Receive(&got))
		Expect(got.body).To(ContainSubstring("key_refused"))
		Expect(s.entry.complete(demoKey("escuelas"), "x", 7, false).status).To(Equal(200))
		Eventually(func() int64 { return reportedTokens(d, "centros") }).Should(Equal(int64(7)))
		Eventually(func() int64 { return reportedTokens(d, "escuelas") }).Should(BeNumerically(">", 0))
	})

	It("rejects a key of another deployment", func() {
		Expect(s.entry.complete(demoKey("matcher"), "x", 1, false).status).To(Equal(401))
		Expect(s.entry.complete("pmx_fabricas_demoother", "x", 1, false).status).To(Equal(401))
	})
})
