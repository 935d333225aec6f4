// Package balance makes package policy usable in the daemon. It adds locking and a
// clock, and signals when there are changes to report to other hosts.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/policy"
	"github.com/pearshelf/pearshelf/internal/world"
)

// Table wraps the policy.Table of one host. It is safe for concurrent use.
type Table struct {
	clock       func() time.Time
	incarnation uint64
	changed     chan struct{}
	// pathWork receives when path checks may be due before pathReviewAt.
	pathWork chan struct{}

	mu    sync.Mutex
	table *policy.Table
	// retryGiven is closed and replaced when another host has given a retry.
	retryGiven chan struct{}
	// pathLost is the latest PathState.Lost, see UpdatePathState.
	pathLost bool
	// pathLostSignal is closed while the path is lost.
	pathLostSignal chan struct{}
	// pathReviewAt is when DuePathChecks will be called again, zero if only after pathWork.
	pathReviewAt time.Time
	waits        waits
}

// NewTable returns the table of a host that starts now, as given by clock. If
// conf.Random is nil, a randomly seeded source is used.
func NewTable(clock func() time.Time, conf policy.Config) *Table {
	if conf.Random == nil {
		conf.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	table := policy.NewTable(clock(), conf)
	return &Table{
		clock:       clock,
		incarnation: rand.Uint64(),
		changed:     make(chan struct{}, 1),
		pathWork:    make(chan struct{}, 1),

		pathLostSignal: make(chan struct{}),
		retryGiven:     make(chan struct{}),
		table:          table,
		waits:          newWaits(table),
	}
}

// Incarnation returns a random ID that distinguishes this run of the host from earlier and
// later ones.
func (t *Table) Incarnation() uint64 { return t.incarnation }

// Changed returns a channel that receives after the table has changes to report to
// other hosts. Signals that are not yet received are merged into one.
func (t *Table) Changed() <-chan struct{} { return t.changed }

func (t *Table) notify() { signal(t.changed) }

// signal makes a channel receive, unless it already does.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// PathWork returns a channel that receives when DuePathChecks is to be called earlier than it asked
// for.
func (t *Table) PathWork() <-chan struct{} { return t.pathWork }

// DuePathChecks returns the checks of this host's path to servers that are due, and after which
// time to call it again; 0 means after PathWork.
func (t *Table) DuePathChecks(views map[string]*world.ServiceView) (due []policy.PathCheck, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	due, after = t.table.DuePathChecks(now, views)
	t.pathReviewAt = time.Time{}
	if after > 0 {
		t.pathReviewAt = now.Add(after)
	}
	return due, after
}

// PathChecked records the result of a check.
func (t *Table) PathChecked(check policy.PathCheck, reached bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.PathChecked(t.clock(), check, reached)
	signal(t.pathWork)
	t.notify()
}

// PathState is what a host knows of its path to the backend servers.
type PathState struct {
	// Lost is set if the host has lost its path to all servers.
	Lost bool
	// Unreachable is the number of servers that could not be connected to since one last was.
	Unreachable int
}

// UpdatePathState returns the state of this host's path to the servers, which PathLost and
// PathLostSignal report until the next call.
func (t *Table) UpdatePathState() PathState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	state := PathState{Lost: t.table.PathLost(now), Unreachable: t.table.PathEvidence(now)}
	switch {
	case state.Lost && !t.pathLost:
		close(t.pathLostSignal)
	case !state.Lost && t.pathLost:
		t.pathLostSignal = make(chan struct{})
	}
	t.pathLost = state.Lost
	return state
}

// PathLost reports whether this host has lost its path to the servers.
func (t *Table) PathLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pathLost
}

// PathLostSignal returns a channel that is closed when this host has lost its path to the servers.
func (t *Table) PathLostSignal() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pathLostSignal
}

// Lease is the placement of a request at a server, which lasts until Finish.
type Lease struct {
	*policy.Placement
	table *Table
	once  sync.Once
}

// Finish ends the placement and records the outcome. Further calls do nothing.
func (l *Lease) Finish(done policy.Result) {
	l.once.Do(func() {
		l.table.mu.Lock()
		defer l.table.mu.Unlock()
		l.table.table.Finish(l.table.clock(), l.Placement, done)
		l.table.notify()
		l.table.waits.set.RequestEnded(l.table.clock(), l.Service())
		l.table.scheduleReview()
		if done.Outcome == policy.Unreachable || done.ServerUnreachable {
			signal(l.table.pathWork)
		}
	})
}

// Pick places a request at a server. If there is none for it, the typed error says
// why.
func (t *Table) Pick(view *world.ServiceView, req policy.Request) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	placement, err := t.table.Pick(t.clock(), view, req)
	if err != nil {
		return nil, err
	}
	t.placed()
	return &Lease{Placement: placement, table: t}, nil
}

// placed makes a new placement known.
func (t *Table) placed() {
	t.notify()
	if t.pathReviewAt.IsZero() {
		signal(t.pathWork) // the request may become overdue
	}
}

// ReviewCopy reports whether a copy of a request that is waiting for a server should be
// sent now. If not, after is the time until the next ReviewCopy, 0 for none.
func (t *Table) ReviewCopy(view *world.ServiceView, req policy.Request, lease *Lease) (copyNow bool, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.ReviewCopy(t.clock(), view, req, lease.Placement)
}

// PlaceTrial places a copy of an idempotent request at a server that is presumed to be
// failing, if a trial is due.
func (t *Table) PlaceTrial(view *world.ServiceView, req policy.Request) (*Lease, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	placement, ok := t.table.PlaceTrial(t.clock(), view, req)
	if !ok {
		return nil, false
	}
	t.notify()
	return &Lease{Placement: placement, table: t}, true
}

// NoteLimited counts a request that was refused because of its customer's limit.
func (t *Table) NoteLimited(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.NoteLimited(t.clock(), service)
	t.notify()
}

// UseChanges returns the servers that have gone out of use or come back into use since
// the last call.
func (t *Table) UseChanges(view *world.ServiceView, req policy.Request) []policy.UseChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.UseChanges(t.clock(), view, req)
}

// RetryAfter returns how long the caller of a refused request should wait before it
// retries.
func (t *Table) RetryAfter(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.RetryAfter(service)
}

// AllowRetry reports whether a request may be retried. If not, other hosts are asked for a retry. again
// is set if the request has asked before.
func (t *Table) AllowRetry(req policy.Request, again bool) policy.RetryDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	decision := t.table.AllowRetryOf(t.clock(), req, again)
	if decision.Wait > 0 {
		t.notify()
	}
	return decision
}

// RetryGiven returns a channel that is closed when another host next gives a retry.
func (t *Table) RetryGiven() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retryGiven
}

// Changes returns the rows that are due to be reported: local to the hosts of this data
// centre, failing to all other hosts.
func (t *Table) Changes() (local, failures []*peerpb.BackendLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Changes(t.clock())
}

// Refresh marks the rows that are due to be reported again.
func (t *Table) Refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.Refresh(t.clock()) {
		t.notify()
	}
}

// Report applies the rows that another host reported. incarnation identifies the run of that
// host. isPeer is set if that host reports all its requests to this one; its in-flight
// counts are used only then.
func (t *Table) Report(host string, incarnation uint64, loads []*peerpb.BackendLoad, isPeer bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gifts := t.table.GiftsReceived()
	if t.table.Report(t.clock(), host, incarnation, loads, isPeer) {
		t.notify()
	}
	t.waits.set.LoadReported(t.clock())
	t.scheduleReview()
	if t.table.GiftsReceived() != gifts {
		close(t.retryGiven)
		t.retryGiven = make(chan struct{})
	}
}

// Export returns what this host knows of the servers that uses selects.
func (t *Table) Export(uses func(service, server string) bool) *peerpb.HandoverResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Export(t.clock(), uses)
}

// Import applies what another host knows, and returns the number of servers of which this host learned
// something.
func (t *Table) Import(state *peerpb.HandoverResponse) (learned int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Import(t.clock(), state)
}

// Stats returns the statistics of each service.
func (t *Table) Stats() []policy.ServiceStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Stats(t.clock())
}
