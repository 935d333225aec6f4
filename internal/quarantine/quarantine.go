// Package quarantine keeps a request that ends the servers which run it from ending more
// of them. Such a request comes again, each time with another ID and through any host, so
// that no host alone sees what it does.
//
// A host whose connection breaks because the server at its other end has ended is a
// witness: it tells the request's content (package content) and the server to the content's
// homes, three hosts that are the same by every host's list of live hosts (rendezvous). A
// home that has been told of three servers puts the content under quarantine: a register in
// the memory of all hosts, told to all of them at once. They refuse it then, without asking
// anybody. The same is kept of all requests of a caller on a route, with more servers, for
// callers whose requests differ by a byte each time.
//
// Requests that merely were at the same servers are told apart by their answers: a whole
// answer to a content clears it, because what ends servers never gets one. Without that a
// popular read is refused as soon as three servers end by themselves. Each host remembers for
// some seconds what it has passed on answers to, because homes hear of answers only from hosts
// that have seen a server end. A hold ends by itself: then one host at a time sends the content
// once, by a grant of its first home; at once where a host remembers an answer from before the
// ends.
//
// The package is pure: time is passed in, messages and decisions are handed out, nothing
// runs by itself.
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
	// contentThreshold is how many servers must have ended while they had a content. With two, a
	// request that is repeated once beside a server's own end and the next would be refused.
	contentThreshold = 3
	// callerThreshold is the same for all requests of a caller on a route: one whose requests
	// differ each time is found by it. Twice as many, because a caller has several requests
	// under way, and three servers that end by themselves may lose it one each.
	callerThreshold = 6
	// sameCrashWindow is within how much of each other two ends of one server are the same one, seen
	// by two hosts (a round trip and a check apart). Later it is another process that has
	// the server's ID: one needs longer than that to start.
	sameCrashWindow = time.Second
	// homesPerContent of a content: with half of all hosts killed at once one in eight contents
	// loses what it was known for.
	homesPerContent = 3
	// rankDelay is how much longer each next home waits before it decides, so that one
	// does: a decision reaches the others within some 10 ms.
	rankDelay = 150 * time.Millisecond
	// resendDelay is when an end is told once more, in case the datagram was lost.
	resendDelay = 100 * time.Millisecond
	// evidenceTTL is how long an end counts. Longer finds contents that come seldom: one that
	// runs once each arrival, every three minutes, is found at its third arrival.
	evidenceTTL = 10 * time.Minute
	// initialHold is the length of a quarantine. Each trial that ends another server makes
	// the next one longer by holdGrowth, up to longestHold: a content that always ends
	// servers ends one in 30 s, 2 min, 8 min, 32 min and each hour after.
	initialHold = 30 * time.Second
	// initialCallerHold is the same for a caller. Requests of many people may come from one
	// address; while all servers are down none of them is answered, and the first one tried
	// after it ends the quarantine for all.
	initialCallerHold = 5 * time.Second
	holdFactor        = 4
	maxHold           = time.Hour
	// trialRequestInterval is how often a host asks a home for a trial.
	trialRequestInterval = time.Second
	// trialPeriod is for how long after a hold a content stays on trial before it is forgotten.
	trialPeriod = 2 * time.Hour
	// trialInterval is when another trial may begin if one told nothing.
	trialInterval = 10 * time.Second
	// liftRetryInterval is when a host decides once more that a quarantine ends, if it is still held.
	liftRetryInterval = time.Second
	// maxSuspects bounds the contents that a host has evidence of, some 400 bytes each.
	// When full the oldest goes: a content that comes again is found by its next ends.
	maxSuspects = 4096
	// maxCrashes bounds the ends that are kept of a content; operators are shown them.
	maxCrashes = 8
	// maxDecisionsPerSecond bounds a home's decisions in a second: each is told to all hosts. What
	// is beyond it waits for the next second.
	maxDecisionsPerSecond = 20
)

// Scope says which requests are one to the quarantine.
type Scope int

// Scopes.
const (
	// ScopeContent: the same request that comes again.
	ScopeContent Scope = iota
	// ScopeCaller: all requests of one caller on one route, whatever they are.
	ScopeCaller
)

var scopeNames = [...]string{"request", "caller"}

// String returns the name that operators see.
func (s Scope) String() string { return scopeNames[s] }

// threshold is how many servers must have ended.
func (s Scope) threshold() int {
	if s == ScopeCaller {
		return callerThreshold
	}
	return contentThreshold
}

// End is the end of a server while it had a request.
type End struct {
	Scope   Scope
	Service string
	Server  string
	// At is when the connection broke, Host the one that lost it.
	At   time.Time
	Host string
}

// sameCrash reports whether two hosts speak of one end of a server.
func (e End) sameCrash(other End) bool {
	return e.Server == other.Server && e.At.Sub(other.At).Abs() < sameCrashWindow
}

// Subject is a request as the quarantine knows it.
type Subject struct {
	Content content.ID
	// Caller is the same for all requests of one caller on one route, zero if it is not
	// known who the caller is.
	Caller content.ID
}

// IDs returns what may be refused, by scope.
func (s Subject) IDs() []content.ID {
	if s.Caller == (content.ID{}) {
		return []content.ID{ScopeContent: s.Content}
	}
	return []content.ID{ScopeContent: s.Content, ScopeCaller: s.Caller}
}

// Quarantine is a content that is refused.
type Quarantine struct {
	Content content.ID
	Scope   Scope
	Service string
	Ends    []End
	// Until is when the hold is over and the content is on trial.
	Until time.Time
	// Trials that have ended another server.
	Trials int
}

// covers reports whether an end is one of those for which the content is held.
func (q *Quarantine) covers(end End) bool { return slices.ContainsFunc(q.Ends, end.sameCrash) }

// holdDuration is the length of a quarantine after a number of trials that failed.
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

// View is the contents in quarantine, as all hosts have them. It does not change.
type View struct {
	byContent map[content.ID]*Quarantine
	// liftedAt is when contents were cleared of what servers had done until then.
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

// Empty reports whether nothing is in quarantine.
func (v *View) Empty() bool { return v == nil || len(v.byContent) == 0 }

// Get returns the quarantine of a content, nil if there is none.
func (v *View) Get(id content.ID) *Quarantine {
	if v == nil {
		return nil
	}
	return v.byContent[id]
}

// isEvidence reports whether an end is evidence against a content: it must be later than what
// an answer, or an operator, has cleared.
func (v *View) isEvidence(id content.ID, end End) bool {
	if v == nil {
		return true
	}
	lifted, known := v.liftedAt[id]
	return !known || end.At.After(lifted)
}

// Supersedes reports whether a decision comes too late: another home has made it, or all of
// its ends lie before the content was lifted.
func (v *View) Supersedes(decided *Quarantine) bool {
	if held := v.Get(decided.Content); held != nil && held.Trials >= decided.Trials {
		return true
	}
	return !slices.ContainsFunc(decided.Ends, func(e End) bool { return v.isEvidence(decided.Content, e) })
}

// All returns the contents in quarantine, the newest first.
func (v *View) All() []*Quarantine {
	if v == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(v.byContent), func(a, b *Quarantine) int {
		return cmp.Or(b.Until.Compare(a.Until), bytes.Compare(a.Content[:], b.Content[:]))
	})
}
