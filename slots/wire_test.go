package slots

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestPackedSharesAreTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`lm-[0-9]{1,3}`), 0, 60, rapid.ID).Draw(t, "names")
		shares := Shares(rapid.MapOf(rapid.StringMatching(`lm-[0-9]{1,3}`), rapid.IntRange(0, 4096)).Draw(t, "shares"))
		n := NewNames(names)
		back, err := NewNames(names).Unpack(n.Pack(shares))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(back).To(Equal(shares))
	})
}

func TestOtherNamesAreRefused(t *testing.T) {
	packed := NewNames([]string{"a", "b"}).Pack(Shares{"b": 1})
	if _, err := NewNames([]string{"a", "c"}).Unpack(packed); !errors.Is(err, ErrNamesMismatch) {
		t.Errorf("error is %v", err)
	}
	if _, err := (Names{}).Unpack(Names{}.Pack(Shares{"b": 1})); err != nil {
		t.Errorf("named shares need no list: %v", err)
	}
}

// BenchmarkPackedBytes reports the bytes of the shares of 53 engines, the second
// message of a stream.
func BenchmarkPackedBytes(b *testing.B) {
	shares := Shares{}
	var names []string
	for n := range 53 {
		names = append(names, fmt.Sprintf("lm-pool-%03d", n))
		shares[names[n]] = 1 + n%3
	}
	list := NewNames(names)
	for name, value := range map[string]any{"names": shares, "packed": list.Pack(shares)} {
		b.Run(name, func(b *testing.B) {
			var stream bytes.Buffer
			encoder := gob.NewEncoder(&stream)
			for b.Loop() {
				stream.Reset()
				if err := encoder.Encode(value); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(stream.Len()), "message-bytes")
		})
	}
}
