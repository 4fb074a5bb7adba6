// Package e2e tests the system end to end: daemons run as separate processes on the
// loopback interface, with stand-ins for everything external.
package e2e

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	RunSpecs(t, "End to end")
}

// daemonPath is the path of the daemon binary built for this run.
var daemonPath string

var _ = SynchronizedBeforeSuite(func() []byte {
	path, err := gexec.Build("github.com/pomelocross/pomelocross/cmd/pomelocrossd")
	Expect(err).NotTo(HaveOccurred())
	return []byte(path)
}, func(path []byte) {
	daemonPath = string(path)
})

var _ = SynchronizedAfterSuite(func() {}, gexec.CleanupBuildArtifacts)
