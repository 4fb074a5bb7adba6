// Package journal puts the orders that several stand-ins received into one
// sequence, which proofs of a single orderer read.
package journal

import (
	"fmt"
	"slices"
	"time"
)

// Order is an order as a stand-in received it whole.
type Order struct {
	At     time.Time // on the clock that all stand-ins share
	Holder string
	Epoch  int64
	Detail string // for failure messages
}

// String implements fmt.Stringer.
func (o Order) String() string { return fmt.Sprint(o.Holder, "/", o.Epoch, " ", o.Detail) }

// Merge returns the orders of all parts in the order of receipt.
func Merge(parts ...[]Order) []Order {
	all := slices.Concat(parts...)
	slices.SortStableFunc(all, func(a, b Order) int { return a.At.Compare(b.At) })
	return all
}

// Overtaken returns the orders that were received after one of a later epoch,
// or whose epoch another holder had used before: there are none when holders'
// orders never overlap.
func EpochViolations(orders []Order) []Order {
	var wrong []Order
	holders := map[int64]string{}
	highest := int64(0)
	for _, o := range orders {
		first, known := holders[o.Epoch]
		if !known {
			holders[o.Epoch] = o.Holder
		}
		if o.Epoch < highest || (known && first != o.Holder) {
			wrong = append(wrong, o)
		}
		highest = max(highest, o.Epoch)
	}
	return wrong
}
