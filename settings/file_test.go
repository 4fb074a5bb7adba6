package settings

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// testSettings is a minimal settings struct with a required, a reloadable and a
// duration setting.
type testSettings struct {
	Name  string        `env:"SMALL_NAME" flag:"name" validate:"required"`
	Level string        `env:"SMALL_LEVEL" envDefault:"info" flag:"level" reload:"true"`
	Wait  time.Duration `env:"SMALL_WAIT" envDefault:"1s" flag:"wait" validate:"min=1s"`
}

var _ = Describe("A settings file", func() {
	var path string
	write := func(content string) { Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed()) }
	load := func(args ...string) (testSettings, error) {
		var s testSettings
		err := Load(&s, Program{Name: "small", File: path}, args)
		return s, err
	}

	BeforeEach(func() { path = filepath.Join(GinkgoT().TempDir(), "settings") })

	It("supplies the values that neither the environment nor flags set", func() {
		write("# a comment\nSMALL_NAME=file\nSMALL_LEVEL=debug\nSMALL_WAIT=3s\n")
		GinkgoT().Setenv("SMALL_LEVEL", "warn")
		s, err := load("--wait", "5s")
		Expect(err).NotTo(HaveOccurred())
		Expect(s).To(Equal(testSettings{Name: "file", Level: "warn", Wait: 5 * time.Second}))
	})

	It("keeps the default of a setting with an empty value", func() {
		write("SMALL_NAME=file\nSMALL_LEVEL=\n")
		s, err := load()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Level).To(Equal("info"))
	})

	DescribeTable("reports each error", func(content, message string) {
		write(content)
		_, err := load()
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("an unknown setting", "SMALL_NAME=a\nSMALL_NMAE=b\n", "unknown setting SMALL_NMAE"),
		Entry("a value that cannot be parsed", "SMALL_NAME=a\nSMALL_WAIT=soon\n", "--wait: cannot parse SMALL_WAIT"),
		Entry("a value out of range", "SMALL_NAME=a\nSMALL_WAIT=1ms\n", "--wait: must be at least 1s"),
		Entry("a line without a value", "SMALL_NAME\n", "settings file"),
	)

	It("causes an error when its path is set but the file does not exist", func() {
		_, err := load("--name", "a")
		Expect(err).To(MatchError(ContainSubstring("settings file " + path)))
	})

	It("triggers a reload when its content changes and on a signal", func(ctx SpecContext) {
		write("SMALL_NAME=a\n")
		signals, changes := make(chan os.Signal), make(chan struct{}, 8)
		watching, stop := context.WithCancel(ctx)
		DeferCleanup(stop)
		go WatchFile(watching, path, signals, func() { changes <- struct{}{} })
		Consistently(changes, filePollInterval+filePollInterval/2).ShouldNot(Receive())
		write("SMALL_NAME=b\n")
		Eventually(changes, 3*filePollInterval).Should(Receive())
		signals <- syscall.SIGHUP
		Eventually(changes).Should(Receive())
		Consistently(changes, filePollInterval+filePollInterval/2).ShouldNot(Receive())
	})

	It("has its changes classified as reloadable or as requiring a restart", func() {
		reloadable, restart := Differences(&testSettings{Name: "a", Level: "info"}, &testSettings{Name: "b", Level: "warn"})
		Expect(reloadable).To(Equal([]string{"level"}))
		Expect(restart).To(Equal([]string{"name"}))
	})
})
