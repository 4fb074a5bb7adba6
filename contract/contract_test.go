package contract

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestContract(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Contract")
}

// head declares just enough for a bundle that is valid.
const head = "version: 1\ndeployment: test\ndomains:\n  - {name: mty-a, region: mx}\n"

const service = "services:\n  - {name: desk, kind: plain, slots: 1, whenIsolated: serve}\n"

var _ = Describe("Parse", func() {
	DescribeTable("reports every fault with its file and line", func(data string, faults ...string) {
		_, err := Parse([]File{{Name: "bundle.yaml", Data: []byte(data)}})
		var found *ValidationError
		Expect(errors.As(err, &found)).To(BeTrue(), "%v", err)
		Expect(found.Diagnostics).To(HaveLen(len(faults)), err.Error())
		for _, fault := range faults {
			Expect(err.Error()).To(ContainSubstring(fault))
		}
	},
		Entry("malformed", "version: [1", "bundle.yaml:1: "),
		Entry("not a mapping", "- 1\n", "bundle.yaml:1: "),
		Entry("unknown field", head+"teams:\n  - {name: a, weight: 1, wait: 2}\n", `bundle.yaml:6: unknown field "wait"`),
		Entry("another version", "version: 2\ndeployment: test\n", "version: must be 1"),
		Entry("number too large for its type", head+"teams:\n  - {name: a, weight: 99999999999999999999}\n", "bundle.yaml:6"),
		Entry("numbers just beyond their limits", head+"teams:\n  - {name: a, weight: 1001}\n  - {name: b, weight: 0}\n  - {name: c, weight: 1, tokensPerMinute: -1}\n",
			"bundle.yaml:6: teams[0].weight: must be at most 1000", "bundle.yaml:7: teams[1].weight: must be at least 1", "bundle.yaml:8: teams[2].tokensPerMinute: must be at least 0"),
		Entry("names and references", head+"keys:\n  - {id: a_b, team: none, hash: x}\nteams:\n  - {name: A, weight: 1}\n  - {name: A, weight: 1}\n",
			"keys[0].id: must be 1 to 32 letters", "keys[0].hash: must be salt:sha256", "teams[0].name: must be lower-case", "teams[1].name: must be lower-case",
			`teams[1]: "A" is declared twice`, `keys[0].team: "none" is not declared`),
		Entry("durations", head+service+"routes:\n  - {name: r, path: /, methods: [GET], service: desk, class: desk, timeout: -1s}\n", "routes[0].timeout: must not be negative"),
		Entry("more kept than allowed", head+service+"costLimits:\n  - {service: desk, domain: mty-a, maxDear: 1, minReady: 2}\n", "costLimits[0].minReady: is more than"),
	)

	It("accepts numbers at their limits", func() {
		_, err := Parse([]File{{Name: "b", Data: []byte(head + "teams:\n  - {name: a, weight: 1000, tokensPerMinute: 9223372036854775807}\n  - {name: b, weight: 1}\n")}})
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses a file beyond its limit before reading it", func() {
		name := filepath.Join(GinkgoT().TempDir(), "large.yaml")
		Expect(os.WriteFile(name, make([]byte, MaxFileBytes+1), 0o600)).To(Succeed())
		_, err := ReadFiles([]string{name})
		Expect(err).To(MatchError(ContainSubstring("larger than 4 MiB")))
	})
})

var _ = Describe("A snapshot", func() {
	It("is refused when the stored value is damaged", func() {
		bundle, err := Parse([]File{{Name: "b", Data: []byte(head)}})
		Expect(err).NotTo(HaveOccurred())
		digest, err := Digest(bundle)
		Expect(err).NotTo(HaveOccurred())
		_, err = NewSnapshot(Accepted{Revision: 1, Digest: digest, Bundle: *bundle})
		Expect(err).NotTo(HaveOccurred())
		_, err = NewSnapshot(Accepted{Revision: 1, Digest: strings.Repeat("0", 64), Bundle: *bundle})
		Expect(err).To(MatchError(ContainSubstring("digest")))
	})
})

// FuzzParse checks that any input is refused with an error or gives a bundle
// that survives being stored.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{head, head + service, "version: [1", "a: &a [*a, *a]", "\x00", "version: 1\nteams: {}\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		bundle, err := Parse([]File{{Name: "fuzz", Data: data}})
		if err != nil {
			return
		}
		digest, err := Digest(bundle)
		if err != nil {
			t.Fatal(err)
		}
		stored, err := json.Marshal(Accepted{Revision: 1, Digest: digest, Bundle: *bundle})
		if err != nil {
			t.Fatal(err)
		}
		var accepted Accepted
		if err := json.Unmarshal(stored, &accepted); err != nil {
			t.Fatal(err)
		}
		if _, err := NewSnapshot(accepted); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzSplitKey checks that what is split is what was presented.
func FuzzSplitKey(f *testing.F) {
	for _, seed := range []string{"pmx_a_b", "pmx__", "pmx_a_", "pmx_a_b_c", "pmx", "", "pmx_\xff_b"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, presented string) {
		id, secret, ok := SplitKey(presented)
		if ok && (keyPrefix+id+"_"+secret != presented || !ValidKeyID(id) || secret == "") {
			t.Fatalf("%q gave %q and %q", presented, id, secret)
		}
	})
}
