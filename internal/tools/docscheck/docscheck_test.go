package docscheck

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const root = "../../.."

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Docs")
}

var _ = Describe("The tables in docs/proofs", func() {
	It("name tests that exist in the files named beside them", func() {
		rows, err := Rows(root + "/docs/proofs")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(rows)).To(BeNumerically(">", 40))
		for _, row := range rows {
			files := row.FilesOf(root)
			Expect(files).NotTo(BeEmpty(), "%s:%d names no test file", row.Page, row.Line)
			var texts []string
			for _, file := range files {
				found, err := Texts(file)
				Expect(err).NotTo(HaveOccurred(), "%s:%d", row.Page, row.Line)
				texts = append(texts, found...)
			}
			Expect(row.Names(texts)).To(BeTrue(), "%s:%d: no test in the named files matches: %s", row.Page, row.Line, row.Test)
		}
	})
})

var _ = Describe("The API pages", func() {
	It("explain every error code that an instance returns", func() {
		var pages string
		for _, name := range []string{"/docs/API.md", "/docs/api/rollouts.md"} {
			data, err := os.ReadFile(root + name)
			Expect(err).NotTo(HaveOccurred())
			pages += string(data)
		}
		codes, err := Codes(root + "/instance")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(codes)).To(BeNumerically(">", 10))
		for _, code := range codes {
			Expect(pages).To(ContainSubstring("`" + code + "`"))
		}
	})
})
