// Package quota holds limits over all hosts together: those of customers, which the
// configuration sets, and the rate limits that backend servers name. What is said of customers
// holds for servers too, in a table of their own. A customer has a home
// host, the same by every host's list of live hosts (rendezvous), with a token bucket. The
// hosts that serve the customer tell the home what they let through, and get tokens: for
// requests that wait, and while the bucket is well filled as credits, which are spent
// without a question and expire soon.
//
// What holds when hosts cannot hear each other: the limit is divided in proportion to what
// each part let through before. A home keeps back the part of hosts that it no longer
// hears, and a host that no longer hears the home goes on at its own part. So the parts
// together keep the limit, whoever is cut off from whom, and nobody needs to know.
//
// The package is pure: time is passed in, messages are handed out, nothing runs by itself.
package quota

import (
	"math"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/customer"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/wakeup"
)

const (
	// useWindow is over how long a host's use is averaged. Shorter is noisier, and a cut
	// divides the limit by it; longer follows a customer that moves to other hosts late.
	useWindow = 15 * time.Second
	// usageEvery is the interval of usages while a customer is served often, which also
	// tell the home that the host is there.
	usageEvery = 700 * time.Millisecond
	// oftenUse is the use, in requests a second, from which on usages go out by
	// themselves. Below it a request tells of itself by its question, which costs fewer
	// messages.
	oftenUse = 1.0
	// creditLife is how long a credit may be spent: two usages, so that one may be lost.
	creditLife = 1500 * time.Millisecond
	// silentAfter is when a home takes a host that serves the customer for one that it
	// does not hear.
	silentAfter = 1600 * time.Millisecond
	// keptFor is for how long after it was last heard a host's part is kept back, and for
	// how long the host itself goes on at that part. Longer withholds the part of hosts
	// that are gone for good; a cut that lasts longer leaves each side more than its part.
	keptFor = time.Minute
	// questionTimeout is when a question without an answer is repeated, and then given
	// up: an answer takes 1 to 5 ms, more on a busy host.
	questionTimeout = 60 * time.Millisecond
	questionTries   = 2
	// probeEvery is the interval of usages to a home that does not answer.
	probeEvery = 250 * time.Millisecond
	// unheardShare is the part of the limit that hosts which do not hear the home may use
	// beyond their part, all together: for customers that come to a host anew.
	unheardShare = 0.05
	// assumedHosts is how many hosts there are, to a host that does not know yet.
	assumedHosts = 32
	// youngBucket is how full the bucket of a new home is, which does not know what was
	// spent before.
	youngBucket = 0.5
	// steadyFor without a change of hosts makes sure that no other host was a customer's
	// home within the users' windows of some seconds.
	steadyFor = 6 * time.Second
	// youngFor is how long a new home takes hosts' word for their parts at an earlier one.
	youngFor = 3 * time.Second
	// wholeFleet is the part of the hosts whose presence counts as that of all.
	wholeFleet = 0.95
	// creditsAbove is the filling of the bucket above which credits are given, and
	// creditShare the part of its tokens that may lie on hosts as credits.
	creditsAbove = 0.5
	creditShare  = 0.25
	// leastPause is the least time for which a refused host need not ask.
	leastPause = 10 * time.Millisecond
	// mostRetryAfter bounds what a refused caller is told.
	mostRetryAfter = 10 * time.Second
	// smallestBurst is the least capacity of a bucket in seconds of its rate: requests do
	// not come at even distances.
	smallestBurst = 0.1
)

// Rule is in what tables differ.
type Rule struct {
	// LeastAlone is the least capacity, in requests, of a host that does not hear the home
	// and goes on alone at its part. Larger serves the requests of a few callers, which come
	// unevenly; a limit of few requests breaks where many hosts go on alone.
	LeastAlone float64
	// SavesAlone is whether a host that begins to go on alone may spend what its part
	// brought while the home was heard.
	SavesAlone bool
	// EqualParts gives each host that does not hear the home an equal part, in place of one by
	// what it let through lately. Parts by use give more to callers of hosts that are cut
	// off; of a limit of few requests hosts ask too seldom to know theirs, and the parts
	// that they remember add up to more than the limit.
	EqualParts bool
	// MostPause bounds the time for which a refused host need not ask. Longer saves
	// questions where many hosts share few tokens; tokens then wait for who may ask.
	MostPause time.Duration
}

// CustomerRule is for customers' limits, of tens of requests a second.
func CustomerRule() Rule {
	return Rule{LeastAlone: 3, SavesAlone: true, MostPause: 500 * time.Millisecond}
}

// ServerRule is for the rate limits of backend servers, of a few requests a second.
func ServerRule() Rule { return Rule{LeastAlone: 1, EqualParts: true, MostPause: time.Second} }

// Fleet is what a host knows of all hosts.
type Fleet struct {
	// Version grows with every change.
	Version uint64
	// Homes are the hosts that may be a customer's home, this one included.
	Homes []rendezvous.Node
	// Live reports whether membership holds a host for reachable.
	Live func(host string) bool
	// Size is the largest number of hosts that were live at a time.
	Size int
	// Settled is whether this host has had time to hear of the others.
	Settled bool
}

// reachable is the part of all hosts that this one hears.
func (f *Fleet) reachable() float64 { return float64(len(f.Homes)) / float64(max(f.Size, 1)) }

// Verdict is the decision on one request.
type Verdict struct {
	OK bool
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
	// AskAgain is for how long this host need not ask for another request.
	AskAgain time.Duration
}

// Message is what this host has to tell another one.
type Message struct {
	To     string // host name
	Usages []*peerpb.CustomerUsage
	Grants []*peerpb.CustomerGrant
}

// Table is one host's side of all customers' limits: as a host that serves them, and as
// the home of some. It is not safe for concurrent use.
type Table struct {
	self  string
	rule  Rule
	fleet Fleet
	// limits returns a customer's limit by this host's configuration.
	limits func(name string) (customer.Limit, bool)

	// changedAt is when the homes last changed.
	changedAt time.Time

	served map[string]*served
	order  []*served // as they came
	homes  map[string]*home
	out    []Message
	asks   uint64
	due    wakeup.Next
}

// NewTable returns the table of a host. limits is asked by homes, whose own configuration
// counts.
func NewTable(self string, rule Rule, limits func(name string) (customer.Limit, bool)) *Table {
	return &Table{
		self:   self,
		rule:   rule,
		fleet:  Fleet{Homes: []rendezvous.Node{rendezvous.NewNode(self, "")}, Size: 1, Live: func(string) bool { return true }},
		limits: limits,
		served: make(map[string]*served),
		homes:  make(map[string]*home),
	}
}

// SetFleet tells of the hosts that are live now.
func (t *Table) SetFleet(now time.Time, fleet Fleet) {
	if fleet.Version != t.fleet.Version || !t.fleet.Settled {
		t.changedAt = now
	}
	t.fleet = fleet
}

// Due is when Tick must be called at the latest, zero for never.
func (t *Table) Due() time.Time { return t.due.Time() }

// Messages returns what is to be sent, and forgets it.
func (t *Table) Messages() []Message {
	out := t.out
	t.out = nil
	return out
}

// capacity is how many tokens a bucket holds.
func capacity(limit customer.Limit) float64 {
	return math.Max(math.Max(limit.Burst, smallestBurst*limit.PerSecond), 1)
}

// meter measures a rate over useWindow, in events a second.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) add(now time.Time, n float64) {
	m.value = m.rate(now) + n/useWindow.Seconds()
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/useWindow.Seconds())
}

// bucket is a token bucket whose rate and size may change.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds what came since the last look. Debts are kept, also beyond the size.
func (b *bucket) refill(now time.Time, perSecond, size float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens += elapsed * perSecond
	}
	b.tokens = math.Min(b.tokens, size)
	b.at = now
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func inSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
