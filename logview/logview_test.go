package logview

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Logview")
}

// testdata/item.log holds lines of several instances under high load: an item whose
// engine sent no first event, other items of its batch, and earlier state changes of
// the instances.
var _ = Describe("LinesAbout", func() {
	const item, batch = "23f133567ac79bdc", "fe6e1db042bc57ca"
	var lines []Line

	BeforeEach(func() {
		file, err := os.Open("testdata/item.log")
		Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		var skipped int
		lines, skipped, err = Read(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(skipped).To(Equal(1))
	})

	messages := func(about []Line) (list []string) {
		for _, l := range about {
			list = append(list, l.Message)
		}
		return list
	}

	It("returns the lines of an item and its batch and the state changes of its instances, ordered by time", func() {
		about := LinesAbout(lines, item)
		Expect(messages(about)).To(ContainElements("batch accepted", "item moves to another engine", "item is complete"))
		for n, l := range about {
			if n > 0 {
				Expect(l.Time).NotTo(BeTemporally("<", about[n-1].Time))
			}
			if other, ok := l.Fields["item"]; ok {
				Expect(other).To(Equal(item), "lines about other items must be left out")
			}
		}
	})

	It("returns a small part of the log", func() {
		Expect(len(LinesAbout(lines, item))).To(BeNumerically("<", len(lines)/3))
	})

	It("returns the lines of all items for a batch", func() {
		items := 0
		for _, l := range LinesAbout(lines, batch) {
			if _, ok := l.Fields["item"]; ok {
				items++
			}
		}
		Expect(items).To(BeNumerically(">", 2))
	})

	It("returns nothing for an unknown id", func() {
		Expect(LinesAbout(lines, "none")).To(BeEmpty())
	})

	It("returns lines whose text includes the fields", func() {
		var text strings.Builder
		for _, l := range LinesAbout(lines, item) {
			text.WriteString(l.Text() + "\n")
		}
		Expect(text.String()).To(MatchRegexp(`edge-mty-c-2 item moves to another engine  .*reason silent.*upstream i-4ebe6083a5`))
	})
})

var _ = DescribeTable("Read", func(text string, lines, skipped int) {
	found, skippedLines, err := Read(strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	Expect(found).To(HaveLen(lines))
	Expect(skippedLines).To(Equal(skipped))
},
	Entry("empty input", "", 0, 0),
	Entry("a line with a log collector's prefix", `pod-1 | {"ts":"2026-12-04T06:00:00.000Z","msg":"started"}`, 1, 0),
	Entry("text, broken objects, no time, no message", "panic\n{\"ts\":\n{\"msg\":\"m\"}\n{\"ts\":\"2026-12-04T06:00:00.000Z\"}\n", 0, 4),
)
