// Package journal merges the orders received by several stand-ins into one
// sequence. Tests use it to check that only one holder sends orders at a time.
package journal

import (
	"fmt"
	"slices"
	"time"
)

// Order is an order that a stand-in received completely.
type Order struct {
	At     time.Time // time of receipt, by the clock that all stand-ins share
	Holder string
	Epoch  int64
	Detail string // for failure messages
}

// String implements fmt.Stringer.
func (o Order) String() string { return fmt.Sprint(o.Holder, "/", o.Epoch, " ", o.Detail) }

// Merge returns all orders sorted by time of receipt.
func Merge(parts ...[]Order) []Order {
	all := slices.Concat(parts...)
	slices.SortStableFunc(all, func(a, b Order) int { return a.At.Compare(b.At) })
	return all
}

// EpochViolations returns the orders that were received after one with a later
// epoch, or with an epoch that another holder used first. It returns none if the
// holders' orders never overlap.
func EpochViolations(orders []Order) []Order {
	var violations []Order
	holders := map[int64]string{}
	highest := int64(0)
	for _, o := range orders {
		first, known := holders[o.Epoch]
		if !known {
			holders[o.Epoch] = o.Holder
		}
		if o.Epoch < highest || (known && first != o.Holder) {
			violations = append(violations, o)
		}
		highest = max(highest, o.Epoch)
	}
	return violations
}
