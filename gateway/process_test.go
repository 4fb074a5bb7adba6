package gateway

import (
	"net/http"
	"os/exec"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// buildGateway builds the binary once for each process that runs specs.
var buildGateway = sync.OnceValues(func() (string, error) {
	return gexec.Build("github.com/pomelocross/pomelocross/cmd/pomelocross-gateway")
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// gatewayProcess is a gateway that runs as a separate process.
type gatewayProcess struct {
	pid    int
	listen string // address for callers
}

// startProcess starts a gateway with additional arguments and returns it once it is ready. It is killed
// at the end of the spec.
func (d *deployment) startProcess(arguments ...string) gatewayProcess {
	binary, err := buildGateway()
	Expect(err).NotTo(HaveOccurred())
	listen, ready := freeAddress(), freeAddress()
	process := exec.Command(binary, append([]string{"--name", "entry-1", "--domain", "a", "--secret", "0123456789abcdef", "--listen", listen, "--ready-listen", ready,
		"--peer-listen", freeAddress(), "--store", d.storeAddress, "--cloud", d.cloudAddress}, arguments...)...)
	process.Stdout, process.Stderr = GinkgoWriter, GinkgoWriter
	Expect(process.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = process.Process.Kill() // fails only if the process has ended
		_ = process.Wait()         // the error of a killed process
	})
	Eventually(func() int { return status("GET", ready, "/readyz", "", nil) }).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
	return gatewayProcess{process.Process.Pid, listen}
}
