package settings_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Settings")
}

const page = "../docs/SETTINGS.md"

var valid = []string{"--name", "entry-1", "--deployment", "d", "--domain", "mty-a", "--region", "mx", "--platform", "127.0.0.1:1", "--secret", "0123456789abcdef"}

var _ = Describe("Settings", func() {
	It("are described by the committed page", func() {
		var b bytes.Buffer
		settings.Document(&b)
		if os.Getenv("UPDATE") != "" {
			Expect(os.WriteFile(page, b.Bytes(), 0o644)).To(Succeed())
		}
		committed, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(committed)).To(Equal(b.String()))
	})

	DescribeTable("name the flag of each fault, all at once", func(variables map[string]string, args []string, faults ...string) {
		for name, value := range variables {
			GinkgoT().Setenv(name, value)
		}
		_, err := settings.Parse("test", args)
		Expect(err).To(HaveOccurred())
		for _, fault := range faults {
			Expect(err.Error()).To(ContainSubstring(fault))
		}
	},
		Entry("nothing given", nil, nil, "--name: is required", "--domain: is required", "--platform: must be an IP number", "--secret: must be at least 16 characters"),
		Entry("variables that cannot be read beside a fault of a flag", map[string]string{"POMELOCROSS_LEASE_TERM": "soon", "POMELOCROSS_USAGE_GRACE": "1x"},
			append([]string{"--listen", "localhost:80"}, valid...),
			"--lease-term: POMELOCROSS_LEASE_TERM cannot be read", "--usage-grace: POMELOCROSS_USAGE_GRACE cannot be read", "--listen: must be an IP number"),
		Entry("a peer that is no address", nil, append([]string{"--peers", "127.0.0.1:1,elsewhere"}, valid...), "--peers[1]: must be an IP number"),
		Entry("a duration below its limit", nil, append([]string{"--isolation-grace", "1s"}, valid...), "--isolation-grace: must be at least 5s"),
	)

	It("take flags over variables and mask secrets", func() {
		GinkgoT().Setenv("POMELOCROSS_LEASE_TERM", "5s")
		s, err := settings.Parse("test", append([]string{"--lease-term", "7s", "--peers", "127.0.0.1:1,127.0.0.1:2"}, valid...))
		Expect(err).NotTo(HaveOccurred())
		var b strings.Builder
		s.Print(&b)
		Expect(b.String()).To(ContainSubstring("lease-term=7s\n"))
		Expect(b.String()).To(ContainSubstring("secret=********\n"))
		Expect(s.Peers).To(HaveLen(2))
	})
})
