package usage

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// makeLines returns lines of n sources for one team and service.
func makeLines(n int) []Line {
	lines := make([]Line, n)
	for i := range lines {
		lines[i] = Line{Source: Source(fmt.Sprintf("entry-%03d@0123abcd", i)), Team: "team", Service: "lm-pool", Marks: []Mark{{Window: testStart, Total: Figure{Requests: 12345, PromptTokens: 1234567, OutputTokens: 12345678}}}}
	}
	return lines
}

// BenchmarkFreeze freezes a window of one team and reports the encoded size of its
// account in bytes.
func BenchmarkFreeze(b *testing.B) {
	for _, n := range []int{7, 30, 90, 330} {
		b.Run(fmt.Sprintf("sources=%d", n), func(b *testing.B) {
			lines := makeLines(n)
			var account *Account
			for b.Loop() {
				account = Freeze(nil, "team", testStart, lines, time.Hour)
			}
			data, err := json.Marshal(account)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "account-bytes")
		})
	}
}

// BenchmarkMeterAdd counts requests of 64 teams.
func BenchmarkMeterAdd(b *testing.B) {
	m := NewMeter("entry@1", testWindow)
	for n := range b.N {
		m.Add(fmt.Sprint("team-", n%64), "lm-pool", testStart, 100, 1000)
	}
}
