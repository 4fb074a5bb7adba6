package usage

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// sources returns one line of each source for a team and a service.
func sources(n int) []Line {
	lines := make([]Line, n)
	for i := range lines {
		lines[i] = Line{Source: Source(fmt.Sprintf("entry-%03d@0123abcd", i)), Team: "team", Service: "lm-pool", Marks: []Mark{{Window: testStart, Total: Figure{Requests: 12345, PromptTokens: 1234567, OutputTokens: 12345678}}}}
	}
	return lines
}

// BenchmarkFreeze freezes one team's window and reports the size of its account.
func BenchmarkFreeze(b *testing.B) {
	for _, n := range []int{7, 30, 90, 330} {
		b.Run(fmt.Sprintf("sources=%d", n), func(b *testing.B) {
			lines := sources(n)
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
