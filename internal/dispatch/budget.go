package dispatch

import "sync"

const (
	// retryShare is the part of first tries that may be tried again; it bounds
	// the load that failures add.
	retryShare = 0.1
	// retryReserve lets a quiet service retry at all.
	retryReserve = 10
	// fleetSafety is the part of the fleet's allowance that its hosts share out
	// among them: hosts that have just joined, and such as each holds for dead,
	// also take theirs.
	fleetSafety = 0.7
)

// BudgetConfig bounds the retries of one service on one host.
type BudgetConfig struct {
	// Share is the part of first tries that may be tried again.
	Share float64
	// Reserve is how many retries may come at once.
	Reserve float64
}

// FleetBudget returns a host's part of an allowance of the whole fleet.
func FleetBudget(share, reserve float64, hosts int) BudgetConfig {
	return BudgetConfig{Share: fleetSafety * share, Reserve: max(1, fleetSafety*reserve/float64(max(hosts, 1)))}
}

// DefaultBudget is the budget without an allowance of the fleet.
func DefaultBudget() BudgetConfig { return BudgetConfig{Share: retryShare, Reserve: retryReserve} }

// budget is the retry budget of one service on one host.
type budget struct {
	mu     sync.Mutex
	tokens float64
	full   float64 // the newest Reserve
}

func newBudget(conf BudgetConfig) *budget { return &budget{tokens: conf.Reserve, full: conf.Reserve} }

// first notes a first try.
func (b *budget) first(conf BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.full = conf.Reserve
	b.tokens = min(b.tokens+conf.Share, conf.Reserve)
}

// retry takes a token for another try, or reports that there is none.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// charge takes a token for a try that is already spent.
func (b *budget) charge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens--
}

// ample reports whether there is enough for tries that may well be refused.
func (b *budget) ample() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= b.full/2
}
