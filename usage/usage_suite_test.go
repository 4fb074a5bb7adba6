package usage

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterTestingT(t)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed()) // makes runs reproducible
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	RegisterFailHandler(Fail)
	RunSpecs(t, "Usage")
}
