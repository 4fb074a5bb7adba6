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

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Settings")
}

const settingsPage = "../docs/SETTINGS.md"

var validArgs = []string{"--name", "entry-1", "--deployment", "d", "--domain", "mty-a", "--region", "mx", "--platform", "127.0.0.1:1", "--secret", "0123456789abcdef"}

var _ = Describe("Settings", func() {
	It("match the committed documentation page", func() {
		var b bytes.Buffer
		settings.Document(&b)
		if os.Getenv("UPDATE") != "" {
			Expect(os.WriteFile(settingsPage, b.Bytes(), 0o644)).To(Succeed())
		}
		committed, err := os.ReadFile(settingsPage)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(committed)).To(Equal(b.String()))
	})

	DescribeTable("report all errors together, each with its flag", func(variables map[string]string, args []string, messages ...string) {
		for name, value := range variables {
			GinkgoT().Setenv(name, value)
		}
		_, err := settings.Parse("test", args)
		Expect(err).To(HaveOccurred())
		for _, message := range messages {
			Expect(err.Error()).To(ContainSubstring(message))
		}
	},
		Entry("no settings", nil, nil, "--name: is required", "--domain: is required", "--platform: must be an IP address", "--secret: must be at least 16 characters"),
		Entry("variables that cannot be parsed and an invalid flag", map[string]string{"POMELOCROSS_LEASE_TERM": "soon", "POMELOCROSS_USAGE_GRACE": "1x"},
			append([]string{"--listen", "localhost:80"}, validArgs...),
			"--lease-term: cannot parse POMELOCROSS_LEASE_TERM", "--usage-grace: cannot parse POMELOCROSS_USAGE_GRACE", "--listen: must be an IP address"),
		Entry("a peer with an invalid address", nil, append([]string{"--peers", "127.0.0.1:1,elsewhere"}, validArgs...), "--peers[1]: must be an IP address"),
		Entry("a duration below its minimum", nil, append([]string{"--isolation-grace", "1s"}, validArgs...), "--isolation-grace: must be at least 5s"),
	)

	It("are overridden by flags and are printed with secrets masked", func() {
		GinkgoT().Setenv("POMELOCROSS_LEASE_TERM", "5s")
		s, err := settings.Parse("test", append([]string{"--lease-term", "7s", "--peers", "127.0.0.1:1,127.0.0.1:2"}, validArgs...))
		Expect(err).NotTo(HaveOccurred())
		var b strings.Builder
		s.Print(&b)
		Expect(b.String()).To(ContainSubstring("lease-term=7s\n"))
		Expect(b.String()).To(ContainSubstring("secret=********\n"))
		Expect(s.Peers).To(HaveLen(2))
	})
})
