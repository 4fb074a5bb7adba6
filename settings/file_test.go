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

// small are the settings of a small daemon.
type small struct {
	Name  string        `env:"SMALL_NAME" flag:"name" validate:"required"`
	Level string        `env:"SMALL_LEVEL" envDefault:"info" flag:"level" reload:"true"`
	Wait  time.Duration `env:"SMALL_WAIT" envDefault:"1s" flag:"wait" validate:"min=1s"`
}

var _ = Describe("A settings file", func() {
	var path string
	write := func(content string) { Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed()) }
	load := func(args ...string) (small, error) {
		var s small
		err := Load(&s, Program{Name: "small", File: path}, args)
		return s, err
	}

	BeforeEach(func() { path = filepath.Join(GinkgoT().TempDir(), "settings") })

	It("gives what neither the environment nor flags give", func() {
		write("# a comment\nSMALL_NAME=file\nSMALL_LEVEL=debug\nSMALL_WAIT=3s\n")
		GinkgoT().Setenv("SMALL_LEVEL", "warn")
		s, err := load("--wait", "5s")
		Expect(err).NotTo(HaveOccurred())
		Expect(s).To(Equal(small{Name: "file", Level: "warn", Wait: 5 * time.Second}))
	})

	It("leaves a setting without a value at its default", func() {
		write("SMALL_NAME=file\nSMALL_LEVEL=\n")
		s, err := load()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Level).To(Equal("info"))
	})

	DescribeTable("has each fault named", func(content, fault string) {
		write(content)
		_, err := load()
		Expect(err).To(MatchError(ContainSubstring(fault)))
	},
		Entry("a name that is no setting", "SMALL_NAME=a\nSMALL_NMAE=b\n", "there is no setting SMALL_NMAE"),
		Entry("a value that cannot be read", "SMALL_NAME=a\nSMALL_WAIT=soon\n", "--wait: SMALL_WAIT cannot be read"),
		Entry("a value out of bounds", "SMALL_NAME=a\nSMALL_WAIT=1ms\n", "--wait: must be at least 1s"),
		Entry("a line that is none", "SMALL_NAME\n", "settings file"),
	)

	It("must be there if it is named", func() {
		_, err := load("--name", "a")
		Expect(err).To(MatchError(ContainSubstring("settings file " + path)))
	})

	It("is read again when it changes, and at a signal", func(ctx SpecContext) {
		write("SMALL_NAME=a\n")
		signals, changes := make(chan os.Signal), make(chan struct{}, 8)
		watching, stop := context.WithCancel(ctx)
		DeferCleanup(stop)
		go WatchFile(watching, path, signals, func() { changes <- struct{}{} })
		Consistently(changes, fileInterval+fileInterval/2).ShouldNot(Receive())
		write("SMALL_NAME=b\n")
		Eventually(changes, 3*fileInterval).Should(Receive())
		signals <- syscall.SIGHUP
		Eventually(changes).Should(Receive())
		Consistently(changes, fileInterval+fileInterval/2).ShouldNot(Receive())
	})

	It("has changes told apart by whether a running process takes them over", func() {
		live, restart := Differences(&small{Name: "a", Level: "info"}, &small{Name: "b", Level: "warn"})
		Expect(live).To(Equal([]string{"level"}))
		Expect(restart).To(Equal([]string{"name"}))
	})
})
