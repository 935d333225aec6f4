// Package balance is the shell of package policy on a host: it holds the lock and
// the clock, and wakes whoever tells other hosts what was learnt.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/world"
)

// Table is one host's policy.Table, safe for concurrent use.
type Table struct {
	clock   func() time.Time
	life    uint64
	changed chan struct{}

	mu    sync.Mutex
	table *policy.Table
}

// NewTable returns the table of a host that starts now, by clock.
func NewTable(clock func() time.Time, conf policy.Config) *Table {
	if conf.Random == nil {
		conf.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Table{
		clock:   clock,
		life:    rand.Uint64(),
		changed: make(chan struct{}, 1),
		table:   policy.NewTable(clock(), conf),
	}
}

// Life tells one start of this host from the next.
func (t *Table) Life() uint64 { return t.life }

// Changed receives after the table has something to tell other hosts.
func (t *Table) Changed() <-chan struct{} { return t.changed }

func (t *Table) notify() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Lease is a request's place at a server until Finish.
type Lease struct {
	*policy.Placement
	table *Table
	once  sync.Once
}

// Finish ends the request and notes what was learnt. Further calls do nothing.
func (l *Lease) Finish(done policy.Done) {
	l.once.Do(func() {
		l.table.mu.Lock()
		defer l.table.mu.Unlock()
		l.table.table.Finish(l.table.clock(), l.Placement, done)
		l.table.notify()
	})
}

// Pick gives the request a place at a server, or says in a typed error why not.
func (t *Table) Pick(view *world.ServiceView, req policy.Request) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	placement, err := t.table.Pick(t.clock(), view, req)
	if err != nil {
		return nil, err
	}
	t.notify()
	return &Lease{Placement: placement, table: t}, nil
}

// Review says whether a request that waits at a server should have a copy now, and
// if not, when to ask again; 0 for never.
func (t *Table) Review(view *world.ServiceView, req policy.Request, lease *Lease) (copyNow bool, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Review(t.clock(), view, req, lease.Placement)
}

// Trial gives a copy of an idempotent request a place at a server that is believed to
// fail, if one is due.
func (t *Table) Trial(view *world.ServiceView, req policy.Request) (*Lease, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	placement, ok := t.table.Trial(t.clock(), view, req)
	if !ok {
		return nil, false
	}
	t.notify()
	return &Lease{Placement: placement, table: t}, true
}

// NoteLimited counts a request that was refused beyond its customer's limit.
func (t *Table) NoteLimited(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.NoteLimited(t.clock(), service)
	t.notify()
}

// UseChanges returns the servers that have fallen out of use or are in use again since it was
// last called.
func (t *Table) UseChanges(view *world.ServiceView, req policy.Request) []policy.UseChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.UseChanges(t.clock(), view, req)
}

// RetryAfter is when a refused request should come back.
func (t *Table) RetryAfter(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.RetryAfter(service)
}

// AllowRetry reports whether a request of a service may be sent again.
func (t *Table) AllowRetry(service string, fleet policy.Fleet) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.AllowRetry(t.clock(), service, fleet)
}

// Changes returns what must be told: near to the hosts of this data centre,
// failing to all others.
func (t *Table) Changes() (near, failing []*peerpb.BackendLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Changes(t.clock())
}

// Refresh marks what must be told again.
func (t *Table) Refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.Refresh(t.clock()) {
		t.notify()
	}
}

// Report takes what another host told in one of its lives.
func (t *Table) Report(host string, life uint64, loads []*peerpb.BackendLoad, near bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Report(t.clock(), host, life, loads, near)
}

// Stats returns a row per service.
func (t *Table) Stats() []policy.ServiceStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Stats(t.clock())
}
