// Package configsync brings the platform's documents to every host and never
// goes back to an older revision. A few readers in each data centre watch the
// platform; the others hear of a new revision by gossip and fetch the document
// from their parent in a tree over the hosts of their data centre.
package configsync

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// FetchRetry is how long one fetch may take before another is started. A
	// parent that does not have the document yet is asked again after it.
	FetchRetry = 200 * time.Millisecond
	// FirstFetchRetry is the same for a document that this host holds no revision of:
	// where all hosts start at once, hosts with a small part of a core take that long for
	// it, and asking again makes them slower.
	FirstFetchRetry = 1500 * time.Millisecond
	// PeerTimeout is how long one host may take to answer with a change, before the next
	// one of a fetch is asked, FirstPeerTimeout the same for a whole document: the list of
	// thousands of servers takes a small host that long to write, send and read.
	PeerTimeout      = 500 * time.Millisecond
	FirstPeerTimeout = 1500 * time.Millisecond
	// DocumentWait is how long an asker waits for a document that the host it asks is
	// fetching itself, which looks for it each DocumentRecheck: it asks again after
	// FetchRetry. At a start of all hosts each step of the tree then takes one fetch
	// instead of a retry.
	DocumentWait    = 150 * time.Millisecond
	DocumentRecheck = 10 * time.Millisecond
	// ChangeGap is the least time between two revisions of a document that a host fetches
	// from others: backend servers that start together make hundreds of revisions within two
	// seconds, each of which costs a host processor time by the number of servers.
	ChangeGap = 200 * time.Millisecond
	// OthersReadFor is for how long after its start a host that has heard of others with
	// documents leaves it to them to ask the platform for one that nobody has yet; then
	// readers are chosen.
	OthersReadFor = 2 * time.Second
	// AloneFor is for how long after its start a host that hears no other waits for one before it
	// asks the platform: a small host that starts with all others takes that long to hear of them.
	AloneFor = 500 * time.Millisecond
	// AskAgainAfter is the pause after a fetch that brought nothing.
	AskAgainAfter = 50 * time.Millisecond
	// HolderAfter fetches from the parent without success, the announced holder
	// is asked instead; AnyAfter fetches from a holder, any host; PlatformAfter,
	// the platform.
	HolderAfter   = 2
	AnyAfter      = 2
	PlatformAfter = 10
	// DirectAfter is when a new host without an index asks the platform
	// itself, spread over DirectSpread so that a restarted fleet does not ask
	// all at once.
	DirectAfter  = 2 * time.Second
	DirectSpread = 3 * time.Second
	// RepeatDirectAfter is the least pause between two such reads. Readers are
	// chosen after 1 s and pass on what the platform then has: where a whole fleet
	// starts before its first configuration is published, each host would ask for
	// it again and again.
	RepeatDirectAfter = time.Second
	// PollEvery is how often every host of a fleet of up to PollHosts asks the
	// platform for its index, in case all readers are cut off from it. Larger
	// fleets ask less often, so that the fleet's rate does not grow.
	PollEvery = 60 * time.Second
	PollHosts = 40

	treeFanout = 4
	// seedStream keeps this system's random choices apart from others'.
	seedStream = 64
)

// Config of a System.
type Config struct {
	// Seed of the random choices.
	Seed uint64
	// DirectAfter is when a new host that holds no configuration asks the
	// platform itself, spread over DirectSpread. Sooner is ready sooner and
	// costs reads when the whole fleet restarts.
	DirectAfter  time.Duration
	DirectSpread time.Duration
	// First is set on hosts that others know from their settings: they ask the platform
	// at once, and the others DirectSpread later, when they may have heard of them.
	First bool
	// StandIn lets hosts stand in for a reader that is not heard or gets no
	// answers. Without it, readers change with the membership only.
	StandIn bool
}

// System is the document step.
type System struct {
	conf     Config
	rng      *rand.Rand
	directAt time.Time
	nextPoll time.Time
	standIn  takeOver
}

// New returns a system that starts at now.
func New(now time.Time, conf Config) *System {
	rng := rand.New(rand.NewPCG(conf.Seed, seedStream))
	s := &System{conf: conf, rng: rng}
	s.directAt = now.Add(conf.DirectAfter + s.firstSpread())
	s.nextPoll = now.Add(jitter(rng, PollEvery))
	s.standIn = takeOver{heard: now.Add(startGrace), fresh: now}
	return s
}

func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(d)))
}

// crowd is the number of hosts up to which few ask the platform at a start of all at
// once.
const crowd = 1000

// firstSpread draws how much later than DirectAfter a new host asks the platform itself.
// Few draw an early time, each next moment more: those that ask first tell the others
// before these ask, whatever their number (timer suppression, as in Nonnenmacher and
// Biersack, "Optimal multicast feedback", 1998).
func (s *System) firstSpread() time.Duration {
	if s.conf.First || s.conf.DirectSpread <= 0 {
		return 0
	}
	part := math.Log(1+s.rng.Float64()*(crowd-1)) / math.Log(crowd)
	return s.conf.DirectSpread + time.Duration(part*float64(s.conf.DirectSpread))
}

// IsReader reports whether this host watches the platform. A new host
// knows few others and would often be one: a restarted fleet would then
// read everything once a host.
func IsReader(w *world.World) bool {
	return w.Settled && (w.StandsIn || slices.Contains(w.Readers, w.Self.Host))
}

// Active reports whether something of this system goes by the next tick: this host
// reads the platform, or a fetch is under way.
func Active(w *world.World, now time.Time) bool {
	if IsReader(w) {
		return true
	}
	for _, doc := range w.Documents {
		if now.Before(doc.Fetching) {
			return true
		}
	}
	return false
}

// Run starts the fetches that are due.
func (s *System) Run(w *world.World, now time.Time) {
	dropAbsent(w, now)
	s.chooseReader(w, now)
	s.followHeads(w, now)
	s.followIncomplete(w, now)
	s.followIndex(w, now)
	s.poll(w, now)
	s.beat(w, now)
}

// followHeads fetches what peers have announced.
func (s *System) followHeads(w *world.World, now time.Time) {
	for _, r := range w.Registers.Prefix(headPrefix) {
		head := &peerpb.Head{}
		if proto.Unmarshal(r.Value, head) != nil {
			continue
		}
		doc := w.Document(head.Key)
		if doc.Lacks(head.Revision) {
			s.fetch(w, now, doc, fetchPlan{holder: head.Holder})
		}
	}
}

// followIndex fetches the shards whose listed revision is newer, on readers,
// and on hosts that hear nothing from readers.
func (s *System) followIndex(w *world.World, now time.Time) {
	if !IsReader(w) && now.Before(s.directAt) {
		return
	}
	for _, doc := range Wanted(w) {
		// What the index names is on the platform, unless that is stale.
		s.fetch(w, now, doc, fetchPlan{platform: doc.Attempts%2 == 0})
	}
}

// Current reports whether this host holds the newest revision of every
// document that it has heard of, from the index or from peers.
func Current(w *world.World) bool {
	if lacksRequired(w) || len(Wanted(w)) > 0 {
		return false
	}
	for _, r := range w.Registers.Prefix(headPrefix) {
		doc := w.Document(strings.TrimPrefix(r.Key, headPrefix))
		if doc.Lacks(r.Stamp.Revision) {
			return false
		}
	}
	return true
}

// lacksRequired reports whether a document is missing without which a host
// cannot serve.
func lacksRequired(w *world.World) bool {
	return slices.ContainsFunc(w.Required, func(key string) bool {
		if key == world.KeyIndex {
			return w.Index == nil
		}
		return w.Document(key).Revision == 0
	})
}

// Wanted returns the documents that are older than the index says.
func Wanted(w *world.World) []*world.Document {
	if w.Index == nil {
		return nil
	}
	var wanted []*world.Document
	for shard, revision := range w.Index.Shards {
		held := w.Document(world.KeyShardPrefix + shard)
		if held.Lacks(revision) {
			wanted = append(wanted, held)
		}
	}
	return wanted
}

// poll asks the platform directly, rarely, and early only without an index.
func (s *System) poll(w *world.World, now time.Time) {
	if lacksRequired(w) && !now.Before(s.directAt) {
		if early := w.StartedAt.Add(AloneFor); s.conf.StandIn && !s.conf.First && len(w.Hosts) <= 1 && now.Before(early) {
			s.directAt = early // others may be heard by then
			return
		}
		s.directAt = now.Add(max(s.conf.DirectAfter, RepeatDirectAfter) + jitter(s.rng, s.conf.DirectSpread))
		for _, key := range w.Polled {
			if s.leavesToReaders(w, key) {
				continue
			}
			if doc := w.Document(key); doc.Revision == 0 && !s.fromPeers(w, now, doc) {
				w.Out.Fetches = append(w.Out.Fetches, world.Fetch{Key: key, Platform: true})
			}
		}
		return
	}
	// Where hosts stand in for readers, one that hears none reads anyway: polls of all hosts,
	// each of the whole list of servers, would only add calls.
	if s.conf.StandIn || now.Before(s.nextPoll) {
		return
	}
	every := pollEvery(len(w.Hosts))
	s.nextPoll = now.Add(every/2 + jitter(s.rng, every))
	for _, key := range w.Polled {
		w.Out.Fetches = append(w.Out.Fetches, world.Fetch{Key: key, After: w.Document(key).Revision, Platform: true})
	}
}

// leavesToReaders reports whether this host gets a document from those that read it, or reads it
// itself only in the place of a reader that is not heard: the list of thousands of servers takes
// the platform some megabytes for each host. A host that hears no other reads it itself.
func (s *System) leavesToReaders(w *world.World, key string) bool {
	return key == world.KeyDiscovered && s.conf.StandIn && !s.conf.First && len(w.Hosts) > 1
}

// fromPeers reports whether a document that this host lacks is to be had from others:
// one has announced it, or the platform has none yet and others look.
func (s *System) fromPeers(w *world.World, now time.Time, doc *world.Document) bool {
	if s.standIn.hearsReader && now.Sub(s.standIn.heard) <= silentAfter {
		return true // a reader has it soon, or this host takes its place
	}
	if w.Registers.Stamp(HeadKey(doc.Key)) != nil {
		return doc.Attempts <= HolderAfter
	}
	return !s.conf.First && len(w.Registers.Prefix(headPrefix)) > 0 && now.Sub(w.StartedAt) < OthersReadFor
}

// fetchPlan says where to look for a document.
type fetchPlan struct {
	holder   string // host that announced it, may be empty
	near     bool   // the holder is near and serves few: ask it first
	platform bool   // ask the platform and no peer
}

// pollEvery stretches the period with the fleet.
func pollEvery(hosts int) time.Duration {
	return PollEvery * time.Duration(max(hosts, PollHosts)) / PollHosts
}

func (s *System) fetch(w *world.World, now time.Time, doc *world.Document, plan fetchPlan) {
	if now.Before(doc.Fetching) {
		return
	}
	doc.Fetching = now.Add(retryAfter(doc))
	doc.Attempts++
	f := world.Fetch{Key: doc.Key, After: doc.Held(), Platform: plan.platform || doc.Attempts > PlatformAfter}
	if !plan.platform {
		f.Peers = s.sources(w, doc, plan)
	}
	f.Platform = f.Platform || len(f.Peers) == 0
	w.Out.Fetches = append(w.Out.Fetches, f)
}

// TimeoutOf is how long one host may take to answer a fetch.
func TimeoutOf(f world.Fetch) time.Duration {
	if f.After == 0 {
		return FirstPeerTimeout
	}
	return PeerTimeout
}

func retryAfter(doc *world.Document) time.Duration {
	if doc.Held() == 0 {
		return FirstFetchRetry
	}
	return FetchRetry
}

// FetchedNothing notes that a fetch ended without the document.
func FetchedNothing(w *world.World, now time.Time, key string) {
	if doc := w.Document(key); doc.Fetching.After(now.Add(AskAgainAfter)) {
		doc.Fetching = now.Add(AskAgainAfter)
	}
}

// sources returns the parent in the tree, and the holder where the tree gives
// no parent or the parent gives nothing. Readers ask the holder, so that the
// holder serves the readers only; so do hosts that hold nothing yet, if their parent does
// not either. A holder may have been replaced and have forgotten the document: later
// attempts ask any other host too.
func (s *System) sources(w *world.World, doc *world.Document, plan fetchPlan) []string {
	var addresses []string
	if above := parent(w, doc.Key); above != nil && doc.Attempts <= HolderAfter && !plan.near {
		addresses = append(addresses, above.Address)
		if doc.Revision > 0 || len(w.ReaderOrder) > nearReaderHosts {
			return addresses // the holder cannot give the whole document to a large fleet
		}
	}
	if h, ok := w.Hosts[plan.holder]; ok && plan.holder != w.Self.Host && h.Live() && !slices.Contains(addresses, h.Address) {
		addresses = append(addresses, h.Address)
	}
	if len(addresses) == 0 || doc.Attempts > AnyAfter {
		addresses = append(addresses, s.anyOther(w)...)
	}
	if doc.Attempts > AnyAfter && doc.Attempts%2 == 1 { // the holder may hang as the parent did
		slices.Reverse(addresses)
	}
	return addresses
}

// anyOther returns the address of a random live host, if there is another.
func (s *System) anyOther(w *world.World) []string {
	var live []string
	for _, name := range w.HostNames() {
		if name != w.Self.Host && w.Hosts[name].Live() {
			live = append(live, w.Hosts[name].Address)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return []string{live[s.rng.IntN(len(live))]}
}

// servesHosts is how many hosts can get a document from one host at a time.
func servesHosts(w *world.World, host string) int {
	h, ok := w.Hosts[host]
	if !ok {
		return 0
	}
	return max(nearReaderHosts, int(h.Capacity)/capacityPerHost)
}

// parent returns the host above this one in the key's tree: the readers of the
// data centre at the root, then the other hosts in rank order.
func parent(w *world.World, key string) *world.Host {
	if IsReader(w) {
		return nil
	}
	if len(w.Readers) > 0 && w.Readers[0] != w.Self.Host && len(w.ReaderOrder) <= servesHosts(w, w.Readers[0]) {
		return w.Hosts[w.Readers[0]]
	}
	order := slices.Clone(w.Readers)
	var rest []rendezvous.Node
	for _, name := range w.HostNames() {
		h := w.Hosts[name]
		if h.Eligible() && h.DataCentre == w.Self.DataCentre && !slices.Contains(order, name) {
			rest = append(rest, rendezvous.NewNode(name, ""))
		}
	}
	order = append(order, rendezvous.Top(key, rest, len(rest))...)
	position := slices.Index(order, w.Self.Host)
	if position < len(w.Readers) || len(w.Readers) == 0 {
		return nil
	}
	above := max((position-len(w.Readers))/treeFanout, 0)
	return w.Hosts[order[above]]
}

// Interface guard.
var _ world.System = (*System)(nil)
