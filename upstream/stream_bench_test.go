package upstream

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/tmaxmax/go-sse"
)

const benchEvents = 100

var benchStream = strings.Repeat("data: {\"id\":\"0af76519-16cd-43dd-8448-eb211c80319c\",\"position\":7,\"text\":\"word \\n\",\"tokens\":1,\"weight_version\":7}\n\n", benchEvents)

// BenchmarkEvents compares implementations that read a stream of 100 events.
func BenchmarkEvents(b *testing.B) {
	b.Run("go-sse and encoding/json", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			for event, err := range sse.Read(strings.NewReader(benchStream), &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
				var chunk Chunk
				if err != nil || json.NewDecoder(strings.NewReader(event.Data)).Decode(&chunk) != nil {
					b.Fatal(err)
				}
			}
		}
	})
	b.Run("lines and json.Unmarshal", func(b *testing.B) {
		benchDecode(b, func(data []byte) (chunk Chunk, err error) { return chunk, json.Unmarshal(data, &chunk) })
	})
	b.Run("lines and one json.Decoder", func(b *testing.B) {
		benchDecode(b, newChunkDecoder("0af76519-16cd-43dd-8448-eb211c80319c").decode)
	})
}

func benchDecode(b *testing.B, decode func([]byte) (Chunk, error)) {
	b.ReportAllocs()
	for b.Loop() {
		reader := newEventReader(strings.NewReader(benchStream))
		for range benchEvents {
			data, err := reader.next()
			if err != nil {
				b.Fatal(err)
			}
			if _, err := decode(data); err != nil {
				b.Fatal(err)
			}
		}
	}
}
