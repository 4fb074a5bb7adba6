package attempt

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limits of a service's retry budget.
const (
	budgetRatio = 0.1 // retries earned by each request
	budgetFloor = 1.0 // retries earned each second without any request
	budgetCap   = 20  // retries kept for later
)

// Budgets bound retries by service, so that the outage of one service neither
// multiplies its own load nor takes the retries of another. A nil *Budgets
// allows every retry.
type Budgets struct {
	clock clockwork.Clock

	mu       sync.Mutex // guards services and what they point to
	services map[string]*budget
}

// budget is the account of one service, in retries.
type budget struct {
	balance float64
	settled time.Time // until when the floor is credited
}

// NewBudgets returns budgets that start full.
func NewBudgets(clock clockwork.Clock) *Budgets {
	return &Budgets{clock: clock, services: map[string]*budget{}}
}

// Request credits a caller's request.
func (b *Budgets) Request(service string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).credit(budgetRatio)
}

// Retry takes one retry and reports whether there was one.
func (b *Budgets) Retry(service string) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(service).take()
}

// account returns a service's budget with its floor credited. The caller holds mu.
func (b *Budgets) account(service string) *budget {
	now := b.clock.Now()
	one := b.services[service]
	if one == nil {
		one = &budget{balance: budgetCap, settled: now}
		b.services[service] = one
	}
	one.credit(budgetFloor * now.Sub(one.settled).Seconds())
	one.settled = now
	return one
}

func (b *budget) credit(retries float64) { b.balance = min(budgetCap, b.balance+retries) }

func (b *budget) take() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
