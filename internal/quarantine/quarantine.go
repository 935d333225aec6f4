// Package quarantine limits the damage of requests that crash the servers which run them. Such
// a request is repeated, each time under another request ID and through any host, so that no
// single host sees the pattern.
//
// A host whose connection breaks because the server's process is gone reports the crash: it
// sends the request's fingerprint (package content) and the server's ID to the content's home
// hosts. These are three hosts chosen by rendezvous hashing over the live hosts, so that all
// hosts agree on them. A home that knows of crashes of three servers puts the content under
// quarantine: it writes a replicated register and announces it to all hosts at once. From then
// on each host refuses the content on its own. All requests of one caller on one route are
// tracked in the same way, with a higher threshold, because a caller may send requests that
// differ by a byte each time.
//
// Harmless requests that were merely in progress at the same servers are recognized by their
// answers: a complete answer clears a content, because a request that crashes servers never
// gets one. Without this rule a popular read would be refused as soon as three servers crash
// for other reasons. Each host remembers for some seconds which contents it has passed on
// answers to, because only hosts that have seen a crash report answers to the homes.
//
// A quarantine begins with a hold, during which requests with the content are refused. After the
// hold, one host at a time may send the content once, as a trial. The first of the content's
// homes, in the order of the rendezvous hash, grants it. If a host remembers an answer from before
// the crashes, a trial is granted at once.
//
// The package does no I/O and starts no goroutines or timers: the current time is a parameter,
// and messages and decisions are returned to the package's user.
package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/content"
)

const (
	// contentThreshold is how many servers must have crashed while they ran a content. With
	// two, a request that is retried once would be refused if both servers happened to crash
	// for other reasons.
	contentThreshold = 3
	// callerThreshold is the same for all requests of a caller on a route; it detects a caller
	// whose requests differ each time. It is twice as high because a caller has several
	// requests in progress, and three unrelated crashes may each break one of them.
	callerThreshold = 6
	// sameCrashWindow is the maximum time between two reports of a server's crash that count
	// as the same one, observed by two hosts (a round trip and a check apart). A later report
	// concerns a new process with the same server ID, which takes longer than that to start.
	sameCrashWindow = time.Second
	// homesPerContent is the number of homes of a content. With three, if half of all hosts are
	// killed at once, the evidence against one in eight contents is lost.
	homesPerContent = 3
	// rankDelay is how much longer each further home waits before it decides, so that normally
	// only one does: a decision reaches the other homes within about 10 ms.
	rankDelay = 150 * time.Millisecond
	// resendDelay is the delay after which a crash is reported again, in case the datagram was
	// lost.
	resendDelay = 100 * time.Millisecond
	// evidenceTTL is how long a crash counts as evidence. It must be long enough for rare
	// contents: one that arrives every three minutes and runs once per arrival is detected at
	// its third arrival.
	evidenceTTL = 10 * time.Minute
	// initialHold is the length of a first quarantine. Each trial that crashes another server
	// extends the next one by holdFactor, up to maxHold: a content that always crashes servers
	// crashes one after 30 s, 2 min, 8 min, 32 min and then every hour.
	initialHold = 30 * time.Second
	// initialCallerHold is the same for a caller. It is shorter because many users may share
	// one address: while all servers are down none of them gets an answer, and the first
	// successful trial afterwards ends the quarantine for all of them.
	initialCallerHold = 5 * time.Second
	holdFactor        = 4
	maxHold           = time.Hour
	// trialRequestInterval is the minimum time between two requests of a host for a trial of
	// the same content.
	trialRequestInterval = time.Second
	// trialPeriod is how long after its hold a content remains on trial before its quarantine
	// is forgotten.
	trialPeriod = 2 * time.Hour
	// trialInterval is the minimum time between two trials of a content, for the case that the
	// first one had no result.
	trialInterval = 10 * time.Second
	// liftRetryInterval is the time after which a host decides again to lift a quarantine that
	// is still in force.
	liftRetryInterval = time.Second
	// maxSuspects bounds the contents that a host holds evidence against, at about 400 bytes
	// each. When the table is full the oldest entry is evicted; a content that is repeated is
	// detected by its next crashes.
	maxSuspects = 4096
	// maxCrashes bounds the crashes that are kept for a content and shown to operators.
	maxCrashes = 8
	// maxDecisionsPerSecond bounds a home's decisions, because each one is sent to all hosts.
	// Decisions above the limit are deferred to the next second.
	maxDecisionsPerSecond = 20
)

// Scope determines which requests a quarantine applies to.
type Scope int

// Scopes.
const (
	// ScopeContent covers repetitions of the same request.
	ScopeContent Scope = iota
	// ScopeCaller covers all requests of one caller on one route, whatever their content.
	ScopeCaller
)

var scopeNames = [...]string{"request", "caller"}

// String returns the name shown to operators.
func (s Scope) String() string { return scopeNames[s] }

// threshold returns how many servers must have crashed before requests are refused.
func (s Scope) threshold() int {
	if s == ScopeCaller {
		return callerThreshold
	}
	return contentThreshold
}

// Crash is the crash of a server while it ran a request: its process is gone.
type Crash struct {
	Scope   Scope
	Service string
	Server  string
	// At is when the connection broke, and Host the host that observed it.
	At   time.Time
	Host string
}

// sameCrash reports whether two reports concern the same crash of a server.
func (e Crash) sameCrash(other Crash) bool {
	return e.Server == other.Server && e.At.Sub(other.At).Abs() < sameCrashWindow
}

// Subject identifies a request to the quarantine.
type Subject struct {
	Content content.ID
	// Caller is the same for all requests of one caller on one route. It is zero if the caller
	// is unknown.
	Caller content.ID
}

// IDs returns the IDs under which the request may be refused, indexed by scope.
func (s Subject) IDs() []content.ID {
	if s.Caller == (content.ID{}) {
		return []content.ID{ScopeContent: s.Content}
	}
	return []content.ID{ScopeContent: s.Content, ScopeCaller: s.Caller}
}

// Quarantine is the quarantine of a content.
type Quarantine struct {
	Content content.ID
	Scope   Scope
	Service string
	Ends    []Crash
	// Until is the end of the hold. From then on the content is on trial.
	Until time.Time
	// Trials is the number of trials that crashed another server.
	Trials int
}

// covers reports whether a crash is already part of the evidence for the quarantine.
func (q *Quarantine) covers(crash Crash) bool { return slices.ContainsFunc(q.Ends, crash.sameCrash) }

// holdDuration returns the length of a hold after a number of failed trials.
func (s Scope) holdDuration(trials int) time.Duration {
	length := initialHold
	if s == ScopeCaller {
		length = initialCallerHold
	}
	for range trials {
		length = min(length*holdFactor, maxHold)
	}
	return length
}

// View is an immutable snapshot of the contents in quarantine, as replicated to all hosts.
type View struct {
	byContent map[content.ID]*Quarantine
	// liftedAt holds when the quarantine of each content was last lifted. Earlier crashes are
	// no evidence against it.
	liftedAt map[content.ID]time.Time
}

// NewView returns a view of quarantines.
func NewView(all []*Quarantine) *View {
	v := &View{byContent: make(map[content.ID]*Quarantine, len(all)), liftedAt: make(map[content.ID]time.Time)}
	for _, q := range all {
		v.byContent[q.Content] = q
	}
	return v
}

// Empty reports whether no content is in quarantine.
func (v *View) Empty() bool { return v == nil || len(v.byContent) == 0 }

// Get returns the quarantine of a content, nil if there is none.
func (v *View) Get(id content.ID) *Quarantine {
	if v == nil {
		return nil
	}
	return v.byContent[id]
}

// isEvidence reports whether a crash is evidence against a content: it must be later than the
// last time that an answer or an operator lifted the content's quarantine.
func (v *View) isEvidence(id content.ID, crash Crash) bool {
	if v == nil {
		return true
	}
	lifted, known := v.liftedAt[id]
	return !known || crash.At.After(lifted)
}

// Supersedes reports whether a decision is out of date: another home has already made it, or
// the quarantine was lifted after all of its crashes.
func (v *View) Supersedes(decided *Quarantine) bool {
	if held := v.Get(decided.Content); held != nil && held.Trials >= decided.Trials {
		return true
	}
	return !slices.ContainsFunc(decided.Ends, func(e Crash) bool { return v.isEvidence(decided.Content, e) })
}

// All returns the quarantines, those with the latest end of their hold first.
func (v *View) All() []*Quarantine {
	if v == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(v.byContent), func(a, b *Quarantine) int {
		return cmp.Or(b.Until.Compare(a.Until), bytes.Compare(a.Content[:], b.Content[:]))
	})
}
