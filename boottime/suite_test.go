package boottime

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBoottime(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Boottime")
}
