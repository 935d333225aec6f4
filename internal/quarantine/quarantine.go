// Package quarantine keeps a request that ends the servers which run it from ending more
// of them. Such a request comes again, each time with another ID and through any host, so
// that no host alone sees what it does.
//
// A host whose connection breaks because the server at its other end has ended is a
// witness: it tells the request's content (package content) and the server to the content's
// homes, three hosts that are the same by every host's list of live hosts (rendezvous). A
// home that has been told of three servers puts the content under quarantine: a register in
// the memory of all hosts, told to all of them at once. They refuse it then, without asking
// anybody.
//
// Requests that merely were at the same servers are told apart in two ways. A whole answer
// to the content clears it: what ends servers never gets one. And servers that ended under
// a content in quarantine count for no other content. A hold ends by itself: then the first
// home alone, which needs no agreement for that, sends the content once.
//
// Weighed: every host tells every other of each end (a message to each host for each
// request of each server that ends, which grows with the square of the hosts); counting
// requests at a server as parts of one (a request that is seldom alone at its servers then
// ends many more of them); a bound for a caller instead of a content (refuses what serves).
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
	// servers that must have ended while they had a content. The users' rule counts from
	// the third on; with two, a request that is repeated once beside a server's own end
	// and the next would be refused.
	serversEnded = 3
	// homes of a content: with half of all hosts killed at once one in eight contents
	// loses what it was known for.
	homes = 3
	// rankDelay is how much longer each next home waits before it decides, so that one
	// does: a decision reaches the others within some 10 ms.
	rankDelay = 150 * time.Millisecond
	// tellAgainAfter is when an end is told once more, in case the datagram was lost.
	tellAgainAfter = 100 * time.Millisecond
	// knownFor is how long an end counts. Longer finds contents that come seldom: one that
	// runs once each arrival, every three minutes, is found at its third arrival.
	knownFor = 10 * time.Minute
	// firstHold is the length of a quarantine. Each trial that ends another server makes
	// the next one longer by holdGrowth, up to longestHold: a content that always ends
	// servers ends one in 30 s, 2 min, 8 min, 32 min and each hour after.
	firstHold   = 30 * time.Second
	holdGrowth  = 4
	longestHold = time.Hour
	// trialFor is for how long after a hold a content stays on trial before it is forgotten.
	trialFor = 2 * time.Hour
	// trialPause is when another trial may begin if one told nothing.
	trialPause = 10 * time.Second
	// maxSuspects bounds the contents that a host has evidence of, some 400 bytes each.
	// When full the oldest goes: a content that comes again is found by its next ends.
	maxSuspects = 4096
	// maxEnds bounds the ends that are kept of a content; operators are shown them.
	maxEnds = 8
	// maxDecisions bounds a home's decisions in a second: each is told to all hosts. What
	// is beyond it waits for the next second.
	maxDecisions = 20
)

// End is the end of a server while it had a request.
type End struct {
	Service string
	Server  string
	// At is when the connection broke, Host the one that lost it.
	At   time.Time
	Host string
}

// Quarantine is a content that is refused.
type Quarantine struct {
	Content content.ID
	Service string
	Ends    []End
	// Until is when the hold is over and the content is on trial.
	Until time.Time
	// Trials that have ended another server.
	Trials int
}

// covers reports whether a server's end counts for this content alone.
func (q *Quarantine) covers(server string) bool {
	for _, e := range q.Ends {
		if e.Server == server {
			return true
		}
	}
	return false
}

// hold is the length of a quarantine after a number of trials that failed.
func hold(trials int) time.Duration {
	length := firstHold
	for range trials {
		length = min(length*holdGrowth, longestHold)
	}
	return length
}

// View is the contents in quarantine, as all hosts have them. It does not change.
type View struct {
	byContent map[content.ID]*Quarantine
}

// NewView returns a view of quarantines.
func NewView(all []*Quarantine) *View {
	v := &View{byContent: make(map[content.ID]*Quarantine, len(all))}
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

// All returns the contents in quarantine, the newest first.
func (v *View) All() []*Quarantine {
	if v == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(v.byContent), func(a, b *Quarantine) int {
		return cmp.Or(b.Until.Compare(a.Until), bytes.Compare(a.Content[:], b.Content[:]))
	})
}
