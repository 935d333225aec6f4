// Package quota enforces request rate limits across all hosts: the limits of customers, which
// come from the configuration, and the rate limits that backend servers announce. The comments
// speak of customers; backend servers are limited in the same way by a table of their own.
//
// Each customer has a home host with a token bucket. Rendezvous hashing over the list of live
// hosts selects it, so that hosts with the same list agree on it. The hosts that serve the
// customer report to the home what they let through, and receive tokens: on request for
// requests that wait, and, while the bucket is well filled, as credits, which are spent without
// a request to the home and expire soon.
//
// During a network partition the limit is divided in proportion to the recent request rates on
// each side. A home reserves the shares of hosts that it cannot hear, and a host that cannot
// reach the home continues with its own share. The shares add up to the limit whichever hosts
// are separated, and no host has to detect the partition.
//
// The package does no I/O and starts no goroutines: callers pass in the time and send the
// messages that it returns.
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
	// rateWindow is the averaging window of a host's request rate. A shorter window is noisier,
	// and partitions divide the limit by this rate; a longer one is slow to follow a customer
	// that moves to other hosts.
	rateWindow = 15 * time.Second
	// usageInterval is the interval of usage reports for a customer with frequent requests.
	// They also show the home that the host is alive.
	usageInterval = 700 * time.Millisecond
	// frequentRate is the rate, in requests a second, from which on usage is reported
	// periodically. Below it the token requests carry the usage, which takes fewer messages.
	frequentRate = 1.0
	// creditTTL is the lifetime of a credit: two usage intervals, so that one report may be lost.
	creditTTL = 1500 * time.Millisecond
	// silenceTimeout is how long after its last usage report a home considers a host that
	// serves the customer silent.
	silenceTimeout = 1600 * time.Millisecond
	// shareRetention is for how long after its last usage report a host's share is reserved,
	// and for how long the host itself continues with that share. A longer time withholds the
	// shares of hosts that are permanently gone; in a partition that lasts longer than this,
	// each side exceeds its share.
	shareRetention = time.Minute
	// requestTimeout is the time after which an unanswered token request is repeated, and
	// after maxRequestAttempts given up. An answer takes 1 to 5 ms, more on a busy host.
	requestTimeout     = 60 * time.Millisecond
	maxRequestAttempts = 2
	// probeInterval is the interval of usage reports to a home that does not answer.
	probeInterval = 250 * time.Millisecond
	// fallbackReserve is the share of the limit that hosts which cannot reach the home may
	// together use beyond their own shares, for customers that are new to a host.
	fallbackReserve = 0.05
	// assumedFleetSize is the fleet size that a host assumes before it knows the other hosts.
	assumedFleetSize = 32
	// newHomeFill is the initial fill level of the bucket at a new home, which does not know
	// what was spent before.
	newHomeFill = 0.5
	// stablePeriod is how long the list of hosts must be unchanged to ensure that no other host
	// was a customer's home within the windows of the hosts that serve it, which are a few
	// seconds long.
	stablePeriod = 6 * time.Second
	// handoverPeriod is how long a new home accepts the shares that hosts report from an
	// earlier home.
	handoverPeriod = 3 * time.Second
	// completeFleet is the fraction of reachable hosts that counts as the whole fleet.
	completeFleet = 0.95
	// creditThreshold is the fill level of the bucket above which credits are granted, and
	// creditShare the fraction of its tokens that may be outstanding as credits.
	creditThreshold = 0.5
	creditShare     = 0.25
	// minBackoff is the shortest time for which a refused host sends no token request.
	minBackoff = 10 * time.Millisecond
	// maxRetryAfter is the longest retry delay given to a refused caller.
	maxRetryAfter = 10 * time.Second
	// minBurstSeconds is the minimum capacity of a bucket, in seconds of its rate: requests do
	// not arrive at even intervals.
	minBurstSeconds = 0.1
)

// Rule holds the parameters in which tables differ.
type Rule struct {
	// MinFallbackBurst is the minimum bucket capacity, in requests, of a host that cannot reach
	// the home. A larger value serves the uneven requests of a few callers; with a limit of
	// few requests a second, many hosts in fallback would exceed the limit.
	MinFallbackBurst float64
	// AccruesFallback lets a host that enters fallback spend the tokens that its share
	// accrued while the home was reachable.
	AccruesFallback bool
	// EqualShares gives each host that cannot reach the home an equal share instead of one by
	// its recent rate. Shares by rate serve callers of separated hosts better. With a limit of
	// few requests a second, hosts request tokens too seldom to know their shares, and the
	// shares that they remember add up to more than the limit.
	EqualShares bool
	// MaxBackoff is the longest time for which a refused host sends no token request. A longer
	// time saves messages where many hosts compete for few tokens, but leaves tokens unused
	// until a host may ask again.
	MaxBackoff time.Duration
	// Tolerance is what hosts may use beyond a limit while they cannot know whether it is
	// reached. The zero value keeps limits exact.
	Tolerance Tolerance
}

// Tolerance is the permitted excess over a limit: in each Window all hosts together may let
// through (1 + Excess) times what the rate allows, the burst and Slack requests more.
type Tolerance struct {
	Excess float64
	Slack  float64
	Window time.Duration
}

// of returns how many requests beyond a limit and its burst are permitted in a window.
func (x Tolerance) of(limit customer.Limit) float64 {
	return x.Excess*limit.PerSecond*x.Window.Seconds() + x.Slack
}

// named reports whether the deployment permits any excess.
func (x Tolerance) named() bool { return x.Window > 0 && (x.Excess > 0 || x.Slack > 0) }

// CustomerRule returns the rule for customers' limits, which are tens of requests a second.
func CustomerRule() Rule {
	return Rule{MinFallbackBurst: 3, AccruesFallback: true, MaxBackoff: 500 * time.Millisecond}
}

// ServerRule returns the rule for the rate limits of backend servers, which are a few requests
// a second.
func ServerRule() Rule { return Rule{MinFallbackBurst: 1, EqualShares: true, MaxBackoff: time.Second} }

// Fleet is a host's knowledge of the other hosts.
type Fleet struct {
	// Version increases with every change.
	Version uint64
	// Homes are the hosts that may be the home of a customer, this one included.
	Homes []rendezvous.Node
	// Live reports whether membership considers a host reachable.
	Live func(host string) bool
	// PeakSize is the largest number of hosts that have been live at the same time.
	PeakSize int
	// Settled reports whether this host has had time to learn of the others.
	Settled bool
}

// reachableShare returns the fraction of all hosts that this one can reach.
func (f *Fleet) reachableShare() float64 { return float64(len(f.Homes)) / float64(max(f.PeakSize, 1)) }

// Decision is the decision on a request.
type Decision struct {
	OK bool
	// RetryAfter is the time after which the caller of a refused request may retry.
	RetryAfter time.Duration
	// Backoff is the time for which this host need not ask for another request.
	Backoff time.Duration
}

// Message is a message from this host to another.
type Message struct {
	To     string // name of the host
	Usages []*peerpb.CustomerUsage
	Grants []*peerpb.CustomerGrant
}

// Table holds one host's state of all limits: of the customers that it serves, and of those
// whose home it is. It is not safe for concurrent use.
type Table struct {
	self  string
	rule  Rule
	fleet Fleet
	// limits returns a customer's limit in this host's configuration.
	limits func(name string) (customer.Limit, bool)

	// fleetChangedAt is the time of the last change of the fleet.
	fleetChangedAt time.Time

	customers     map[string]*customerState
	ordered       []*customerState // in order of their first request, for deterministic iteration
	homes         map[string]*home
	outbox        []Message
	lastRequestID uint64
	nextTick      wakeup.Next
}

// NewTable returns the table of a host. A home enforces the limit that limits returns, from its
// own configuration.
func NewTable(self string, rule Rule, limits func(name string) (customer.Limit, bool)) *Table {
	return &Table{
		self:      self,
		rule:      rule,
		fleet:     Fleet{Homes: []rendezvous.Node{rendezvous.NewNode(self, "")}, PeakSize: 1, Live: func(string) bool { return true }},
		limits:    limits,
		customers: make(map[string]*customerState),
		homes:     make(map[string]*home),
	}
}

// SetFleet sets the hosts that are live now.
func (t *Table) SetFleet(now time.Time, fleet Fleet) {
	if fleet.Version != t.fleet.Version || !t.fleet.Settled {
		t.fleetChangedAt = now
	}
	t.fleet = fleet
}

// Due returns the latest time for the next call of Tick, zero for none.
func (t *Table) Due() time.Time { return t.nextTick.Time() }

// TakeMessages returns the messages to be sent and removes them from the table.
func (t *Table) TakeMessages() []Message {
	out := t.outbox
	t.outbox = nil
	return out
}

// capacity returns the number of tokens that a bucket holds.
func capacity(limit customer.Limit) float64 {
	return math.Max(math.Max(limit.Burst, minBurstSeconds*limit.PerSecond), 1)
}

// meter measures a rate in events a second, averaged exponentially over its window, rateWindow by
// default.
type meter struct {
	window time.Duration
	value  float64
	at     time.Time
}

func (m *meter) seconds() float64 {
	if m.window > 0 {
		return m.window.Seconds()
	}
	return rateWindow.Seconds()
}

func (m *meter) add(now time.Time, n float64) {
	m.value = m.rate(now) + n/m.seconds()
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/m.seconds())
}

// bucket is a token bucket of variable rate and size.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds the tokens accrued since the last call. A negative balance is kept, even one
// larger than size.
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

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
