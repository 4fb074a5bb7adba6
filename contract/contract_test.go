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

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Contract")
}

// minimalBundle is a valid bundle with only the required fields.
const minimalBundle = "version: 1\ndeployment: test\ndomains:\n  - {name: mty-a, region: mx}\n"

const plainService = "services:\n  - {name: desk, kind: plain, slots: 1, whenIsolated: serve}\n"

var _ = Describe("Parse", func() {
	DescribeTable("reports every error with its file and line", func(data string, messages ...string) {
		_, err := Parse([]File{{Name: "bundle.yaml", Data: []byte(data)}})
		var validationErr *ValidationError
		Expect(errors.As(err, &validationErr)).To(BeTrue(), "%v", err)
		Expect(validationErr.Diagnostics).To(HaveLen(len(messages)), err.Error())
		for _, message := range messages {
			Expect(err.Error()).To(ContainSubstring(message))
		}
	},
		Entry("malformed", "version: [1", "bundle.yaml:1: "),
		Entry("not a mapping", "- 1\n", "bundle.yaml:1: "),
		Entry("unknown field", minimalBundle+"teams:\n  - {name: a, weight: 1, wait: 2}\n", `bundle.yaml:6: unknown field "wait"`),
		Entry("unsupported format version", "version: 2\ndeployment: test\n", "version: must be 1"),
		Entry("number that overflows its type", minimalBundle+"teams:\n  - {name: a, weight: 99999999999999999999}\n", "bundle.yaml:6"),
		Entry("numbers just outside their limits", minimalBundle+"teams:\n  - {name: a, weight: 1001}\n  - {name: b, weight: 0}\n  - {name: c, weight: 1, tokensPerMinute: -1}\n",
			"bundle.yaml:6: teams[0].weight: must be at most 1000", "bundle.yaml:7: teams[1].weight: must be at least 1", "bundle.yaml:8: teams[2].tokensPerMinute: must be at least 0"),
		Entry("invalid and duplicate names and unknown references", minimalBundle+"keys:\n  - {id: a_b, team: none, hash: x}\nteams:\n  - {name: A, weight: 1}\n  - {name: A, weight: 1}\n",
			"keys[0].id: must be 1 to 32 letters", "keys[0].hash: must be salt:sha256", "teams[0].name: must be 1 to 63 lower-case letters", "teams[1].name: must be 1 to 63 lower-case letters",
			`teams[1]: "A" is declared twice`, `keys[0].team: "none" is not declared`),
		Entry("negative duration", minimalBundle+plainService+"routes:\n  - {name: r, path: /, methods: [GET], service: desk, class: desk, timeout: -1s}\n", "routes[0].timeout: must not be negative"),
		Entry("minimum of upstreams above their maximum", minimalBundle+plainService+"costLimits:\n  - {service: desk, domain: mty-a, maxDear: 1, minReady: 2}\n", "costLimits[0].minReady: is greater than"),
	)

	It("accepts numbers at their limits", func() {
		_, err := Parse([]File{{Name: "b", Data: []byte(minimalBundle + "teams:\n  - {name: a, weight: 1000, tokensPerMinute: 9223372036854775807}\n  - {name: b, weight: 1}\n")}})
		Expect(err).NotTo(HaveOccurred())
	})

	It("rejects a file above the size limit without reading it", func() {
		name := filepath.Join(GinkgoT().TempDir(), "large.yaml")
		Expect(os.WriteFile(name, make([]byte, MaxFileBytes+1), 0o600)).To(Succeed())
		_, err := ReadFiles([]string{name})
		Expect(err).To(MatchError(ContainSubstring("larger than 4 MiB")))
	})
})

var _ = Describe("A snapshot", func() {
	It("is rejected when the stored digest does not match the bundle", func() {
		bundle, err := Parse([]File{{Name: "b", Data: []byte(minimalBundle)}})
		Expect(err).NotTo(HaveOccurred())
		digest, err := Digest(bundle)
		Expect(err).NotTo(HaveOccurred())
		_, err = NewSnapshot(Accepted{Revision: 1, Digest: digest, Bundle: *bundle})
		Expect(err).NotTo(HaveOccurred())
		_, err = NewSnapshot(Accepted{Revision: 1, Digest: strings.Repeat("0", 64), Bundle: *bundle})
		Expect(err).To(MatchError(ContainSubstring("digest")))
	})
})

// FuzzParse checks that Parse either returns an error or a bundle that yields a valid
// snapshot after a JSON round trip.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{minimalBundle, minimalBundle + plainService, "version: [1", "a: &a [*a, *a]", "\x00", "version: 1\nteams: {}\n"} {
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

// FuzzSplitKey checks that joining the parts of an accepted key yields the input and
// that the ID and secret are valid.
func FuzzSplitKey(f *testing.F) {
	for _, seed := range []string{"pmx_a_b", "pmx__", "pmx_a_", "pmx_a_b_c", "pmx", "", "pmx_\xff_b"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, credential string) {
		id, secret, ok := SplitKey(credential)
		if ok && (keyPrefix+id+"_"+secret != credential || !ValidKeyID(id) || secret == "") {
			t.Fatalf("SplitKey(%q) returned id %q and secret %q", credential, id, secret)
		}
	})
}
