package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/dispatch"
)

const (
	// graceLate is how much later than the caller's timeout an answer may come on
	// a busy machine.
	graceLate = 3 * time.Second
	// inForceAfter is how long a version may take to be in force, the users' bound.
	inForceAfter = 8 * time.Second
	// aroundPlanned is the time before a request in which a host must have been
	// undisturbed for the request to count as lost by a planned stop.
	aroundPlanned = 3 * time.Second
	// retryShare and retryReserve bound the extra runs of idempotent requests:
	// the fleet's share, and its reserve once for each start of each host.
	retryShare   = 0.1
	retryReserve = 10
)

// attempt is one request and what its caller saw.
type attempt struct {
	kind    string
	token   string
	version int // of a request for a version's route
	host    *host
	// life is the host's process at the start; sameLife, whether it was at the end.
	life     int
	sameLife bool
	sent     time.Time
	done     time.Time
	left     bool // the caller left before the answer
	status   int  // 0 without an answer
	outcome  dispatch.Outcome
	own      bool // the whole answer is the request's own
	err      error
}

func (a *attempt) served() bool { return a.err == nil && a.status == http.StatusOK && a.own }

// journal is what callers, servers and platform saw.
type journal struct {
	mu       sync.Mutex
	asked    map[string]*attempt // by path
	runs     map[string]int      // by path
	attempts []*attempt          // ended ones
	versions []time.Time         // publication of version i+1
}

func newJournal() *journal {
	return &journal{asked: make(map[string]*attempt), runs: make(map[string]int)}
}

func (j *journal) begin(path string, a *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.asked[path] = a
}

func (j *journal) end(a *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, a)
}

// ran notes that a server began to run a request.
func (j *journal) ran(r *http.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.URL.Path]++
}

func (j *journal) published(version int, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if version == len(j.versions)+1 {
		j.versions = append(j.versions, at)
	}
}

// anyVersion returns a published version, the newest half of the time.
func (j *journal) anyVersion(rng *rand.Rand) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if rng.IntN(2) == 0 {
		return len(j.versions)
	}
	return 1 + rng.IntN(len(j.versions))
}

func (j *journal) counts() (requests, served, refused int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.attempts {
		if a.served() {
			served++
		}
		if a.outcome == dispatch.OutcomeNotRun {
			refused++
		}
	}
	return len(j.attempts), served, refused
}

func (j *journal) servedSince(from time.Time) (sent, served int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.attempts {
		if a.sent.Before(from) || a.left || a.kind == pathVersion {
			continue
		}
		sent++
		if a.served() {
			served++
		}
	}
	return sent, served
}

// check returns every promise that was broken.
func (j *journal) check(hosts []*host) []Finding {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []Finding
	for path, n := range j.runs {
		if j.asked[path] == nil {
			found = append(found, Finding{Rule: "own request", Detail: path + " ran, and nobody sent it"})
		} else if n > 1 && j.asked[path].kind == pathOrder {
			found = append(found, Finding{Rule: "at most once", Detail: fmt.Sprintf("%s ran %d times", path, n)})
		}
	}
	for path, a := range j.asked {
		found = append(found, j.checkAttempt(path, a)...)
	}
	found = append(found, j.checkVersions()...)
	return append(found, j.checkRetries(hosts)...)
}

func (j *journal) checkAttempt(path string, a *attempt) []Finding {
	var found []Finding
	add := func(rule, detail string) {
		found = append(found, Finding{Rule: rule, Detail: fmt.Sprintf("%s at %s, sent %s, status %d, outcome %q, error %v: %s",
			path, a.host.name, a.sent.Format(time.StampMilli), a.status, a.outcome, a.err, detail)})
	}
	runs := j.runs[path]
	switch {
	case a.done.IsZero():
		return nil // still on its way when the run ended
	case a.outcome == dispatch.OutcomeNotRun && runs > 0:
		add("truthful refusal", "told as not run, and ran")
	case a.err == nil && a.status == http.StatusOK && !a.own:
		add("own whole answer", "the answer is not whole or not its own")
	case a.served() && runs == 0:
		add("own whole answer", "answered, and no server ran it")
	}
	troubles := a.host.disturbedBy(a.sent.Add(-aroundPlanned), a.done)
	if a.done.Sub(a.sent) > callerTimeout+graceLate && len(troubles) == 0 {
		add("answer in time", fmt.Sprintf("took %s with %s", a.done.Sub(a.sent), callerTimeout))
	}
	plannedOnly := troubles[kindPlannedStop] && len(troubles) == 1
	if a.err != nil && a.status == 0 && !a.left && runs > 0 && plannedOnly {
		add("planned stop", "ran, and its caller got no answer")
	}
	return found
}

// checkVersions checks that no process goes back to an older configuration, and
// that a version is in force in time where nothing is disturbed.
func (j *journal) checkVersions() []Finding {
	type process struct {
		host *host
		life int
	}
	newest := make(map[process]*attempt) // the newest version that was served
	var found []Finding
	for _, a := range j.attempts { // in the order of their ends
		if a.kind != pathVersion || a.err != nil || !a.sameLife {
			continue
		}
		p := process{a.host, a.life}
		known := newest[p]
		switch {
		case a.status == http.StatusNotFound && known != nil && a.version <= known.version && a.sent.After(known.done):
			found = append(found, Finding{Rule: "configuration never back", Detail: fmt.Sprintf("%s denies version %d after it served %d", a.host.name, a.version, known.version)})
		case a.status == http.StatusNotFound && j.mustBeInForce(a):
			found = append(found, Finding{Rule: "configuration in force", Detail: fmt.Sprintf("%s denies version %d, published %s before", a.host.name, a.version, a.sent.Sub(j.versions[a.version-1]))})
		case a.status == http.StatusOK && (known == nil || a.version > known.version):
			newest[p] = a
		}
	}
	return found
}

func (j *journal) mustBeInForce(a *attempt) bool {
	since := a.sent.Add(-inForceAfter)
	return j.versions[a.version-1].Before(since) && len(a.host.disturbedBy(since, a.done)) == 0
}

// checkRetries bounds the runs beyond the first of idempotent requests.
func (j *journal) checkRetries(hosts []*host) []Finding {
	requests, extra, starts := 0, 0, 0
	for path, a := range j.asked {
		requests++
		if n := j.runs[path]; n > 1 && a.kind != pathOrder {
			extra += n - 1
		}
	}
	for _, h := range hosts {
		starts += h.lifeNumber()
	}
	if bound := retryShare*float64(requests) + float64(retryReserve*starts); float64(extra) > bound {
		return []Finding{{Rule: "retry budget", Detail: fmt.Sprintf("%d extra runs of %d requests, at most %.0f are allowed", extra, requests, bound)}}
	}
	return nil
}
