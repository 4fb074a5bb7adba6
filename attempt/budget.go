package attempt

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Parameters of the retry budget of one service.
const (
	retriesPerRequest   = 0.1 // retries added for each request
	minRetriesPerSecond = 1.0 // retries added each second, independent of requests
	maxRetryBalance     = 20  // upper bound of the balance, in retries
)

// Budgets limits retries separately for each service, so that an outage of one
// service neither multiplies the load on it nor uses up the retries of other
// services. A nil *Budgets allows every retry.
type Budgets struct {
	clock clockwork.Clock

	mu       sync.Mutex // guards services and what they point to
	services map[string]*budget
}

// budget is the retry budget of one service.
type budget struct {
	balance float64   // in retries
	updated time.Time // time up to which minRetriesPerSecond has been credited
}

// NewBudgets returns Budgets in which each service starts with a full budget.
func NewBudgets(clock clockwork.Clock) *Budgets {
	return &Budgets{clock: clock, services: map[string]*budget{}}
}

// RecordRequest credits the budget of service for one request of a caller.
func (b *Budgets) RecordRequest(service string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetFor(service).credit(retriesPerRequest)
}

// TryRetry reports whether the budget of service allows a retry, and deducts it
// if so.
func (b *Budgets) TryRetry(service string) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetFor(service).withdraw()
}

// budgetFor returns the budget of service, credited up to the current time. The
// caller must hold mu.
func (b *Budgets) budgetFor(service string) *budget {
	now := b.clock.Now()
	serviceBudget := b.services[service]
	if serviceBudget == nil {
		serviceBudget = &budget{balance: maxRetryBalance, updated: now}
		b.services[service] = serviceBudget
	}
	serviceBudget.credit(minRetriesPerSecond * now.Sub(serviceBudget.updated).Seconds())
	serviceBudget.updated = now
	return serviceBudget
}

// credit adds retries to the balance, up to maxRetryBalance.
func (b *budget) credit(retries float64) { b.balance = min(maxRetryBalance, b.balance+retries) }

// withdraw deducts one retry. It returns false if less than one is left.
func (b *budget) withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
