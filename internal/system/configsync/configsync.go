// Package configsync distributes the platform's documents to every host and
// never reverts to an older revision. A few readers in each data centre watch
// the platform. The other hosts learn of new revisions through gossip and fetch
// the documents along a tree over the hosts of their data centre.
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
	"github.com/pearshelf/pearshelf/internal/startup"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// FetchRetry is the time after which an unanswered fetch is repeated, and a
	// parent that does not have the document yet is asked again.
	FetchRetry = 200 * time.Millisecond
	// FirstFetchRetry applies instead to a document of which this host holds no revision.
	// If all hosts start at once, hosts with a fraction of a core take that long to answer,
	// and retries slow them down further.
	FirstFetchRetry = 1500 * time.Millisecond
	// PeerTimeout is the time a peer may take to answer with a delta before the next peer
	// is asked. FirstPeerTimeout applies to full documents: a small host takes that long to
	// encode, send and decode a list of thousands of servers.
	PeerTimeout      = 500 * time.Millisecond
	FirstPeerTimeout = 1500 * time.Millisecond
	// DocumentWait is the time for which a request is held while the asked host is itself
	// fetching the document; it checks every DocumentPollInterval whether the document has
	// arrived. DocumentWait is shorter than FetchRetry, after which the other host asks again.
	// When all hosts start at once, each level of the tree then takes one fetch instead of a
	// retry.
	DocumentWait         = 150 * time.Millisecond
	DocumentPollInterval = 10 * time.Millisecond
	// MinFetchInterval is the minimum time from applying a revision to the next fetch.
	// Backend servers that start together cause hundreds of revisions within two seconds,
	// and the processor time for each grows with the number of servers.
	MinFetchInterval = 200 * time.Millisecond
	// DeferToReadersFor is the time after its start for which a host that knows of peers
	// with documents leaves it to them to request missing documents from the platform.
	// Readers have been chosen by then.
	DeferToReadersFor = 2 * time.Second
	// PeerDiscoveryWait is the time after its start for which a host without known peers waits
	// before it asks the platform. A small host that starts together with all others takes that
	// long to discover them.
	PeerDiscoveryWait = 500 * time.Millisecond
	// FailedFetchPause is the pause after a fetch that returned no document.
	FailedFetchPause = 50 * time.Millisecond
	// The sources of a fetch depend on the number of attempts since the last
	// success: the parent in the tree up to ParentAttempts, then the holder, which
	// is the host that announced the revision, after HolderAttempts any other host
	// too, and after PeerAttempts the platform.
	ParentAttempts = 2
	HolderAttempts = 2
	PeerAttempts   = 10
	// DirectAfter is the time after which a new host without an index asks the
	// platform itself, spread over DirectSpread so that the hosts of a restarted
	// fleet do not ask at the same time.
	DirectAfter  = 2 * time.Second
	DirectSpread = 3 * time.Second
	// MinDirectInterval is the minimum interval between two such reads. Readers
	// are chosen after 1 s and distribute what the platform then has. Without the
	// limit, all hosts of a fleet that starts before its first configuration is
	// published would poll the platform continuously.
	MinDirectInterval = time.Second
	// PollInterval is the mean interval at which each host of a fleet of up to
	// PollHosts polls the platform, in case all readers are cut off from it. In
	// larger fleets hosts poll less often, so that the total rate does not grow.
	PollInterval = 60 * time.Second
	PollHosts    = 40

	treeFanout = 4
	// seedStream separates this system's random numbers from those of other systems.
	seedStream = 64
)

// Config configures a System.
type Config struct {
	// Seed of the random number generator.
	Seed uint64
	// DirectAfter is the time after which a new host without a configuration
	// asks the platform itself, spread over DirectSpread. Lower values make a
	// host ready sooner but cost platform reads when the whole fleet restarts.
	DirectAfter  time.Duration
	DirectSpread time.Duration
	// IsSeed is set on hosts that others know from their settings. They wait only
	// DirectAfter before they ask the platform. Other hosts wait at least
	// DirectSpread longer, by when they may have discovered one of these.
	IsSeed bool
	// ReaderFailover enables failover: hosts take over from a reader that sends no
	// heartbeats or gets no answers. Without it, readers change with the
	// membership only.
	ReaderFailover bool
}

// System is the document distribution step of a tick.
type System struct {
	conf     Config
	rng      *rand.Rand
	directAt time.Time
	nextPoll time.Time
	failover readerFailover
	// contactAt is when this host first knew of another one, readDelay the random part of its wait
	// for the documents of others; see startup.ReadAt.
	contactAt time.Time
	readDelay time.Duration
	// readsEarly is set on the few hosts that stand in for known hosts that do not get an answer
	// from the platform; see startup.StandIn.
	readsEarly bool
	// heardAt is when another host first announced a document that this host lacks, by key.
	heardAt map[string]time.Time
}

// New returns a system that starts at now.
func New(now time.Time, conf Config) *System {
	rng := rand.New(rand.NewPCG(conf.Seed, seedStream))
	s := &System{conf: conf, rng: rng, heardAt: make(map[string]time.Time)}
	delay := s.initialReadDelay()
	s.directAt = now.Add(conf.DirectAfter + delay)
	s.readsEarly, s.readDelay = startup.StandIn(max(delay-conf.DirectSpread, 0), conf.DirectSpread)
	s.nextPoll = now.Add(jitter(rng, PollInterval))
	s.failover = readerFailover{lastHeartbeat: now.Add(startGrace), lastReaderAnswer: now}
	return s
}

func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(d)))
}

// suppressionFleetSize is the fleet size up to which only few hosts ask the platform when all
// start at once.
const suppressionFleetSize = 1000

// initialReadDelay draws a random delay, in addition to DirectAfter, after which a new host
// asks the platform itself. The density grows exponentially with the delay: few hosts draw a
// short one, and these announce the documents before the others ask, whatever the fleet size
// (timer suppression, as in Nonnenmacher and Biersack, "Optimal multicast feedback", 1998).
func (s *System) initialReadDelay() time.Duration {
	if s.conf.IsSeed || s.conf.DirectSpread <= 0 {
		return 0
	}
	part := math.Log(1+s.rng.Float64()*(suppressionFleetSize-1)) / math.Log(suppressionFleetSize)
	return s.conf.DirectSpread + time.Duration(part*float64(s.conf.DirectSpread))
}

// IsReader reports whether this host watches the platform. A host that has not
// settled is no reader: it knows few others and would often be chosen, so that
// after a restart of the fleet every host would read all documents.
func IsReader(w *world.World) bool {
	return w.Settled && (w.IsSubstituteReader || slices.Contains(w.Readers, w.Self.Host))
}

// NeedsTick reports whether the system has work at the next tick: this host is a reader, or a
// fetch is in progress.
func NeedsTick(w *world.World, now time.Time) bool {
	if IsReader(w) {
		return true
	}
	for _, doc := range w.Documents {
		if now.Before(doc.FetchingUntil) {
			return true
		}
	}
	return false
}

// Run starts the fetches that are due.
func (s *System) Run(w *world.World, now time.Time) {
	if s.contactAt.IsZero() && len(w.Hosts) > 1 {
		s.contactAt = now
	}
	removeExpired(w, now)
	s.updateReaderRole(w, now)
	s.fetchAnnounced(w, now)
	s.refetchIncomplete(w, now)
	s.fetchListedShards(w, now)
	s.poll(w, now)
	s.sendHeartbeat(w, now)
}

// fetchAnnounced fetches documents whose revisions peers have announced.
func (s *System) fetchAnnounced(w *world.World, now time.Time) {
	for _, r := range w.Registers.Prefix(headPrefix) {
		head := &peerpb.Head{}
		if proto.Unmarshal(r.Value, head) != nil {
			continue
		}
		doc := w.Document(head.Key)
		if doc.Needs(head.Revision) {
			s.fetch(w, now, doc, fetchSource{holder: head.Holder, nearOnly: s.leavesToNearer(w, now, doc, head.Holder)})
		}
	}
}

// fetchListedShards fetches the shards for which the index lists a newer revision,
// on readers and on hosts that may read the platform directly.
func (s *System) fetchListedShards(w *world.World, now time.Time) {
	if !IsReader(w) && now.Before(s.directAt) {
		return
	}
	for _, doc := range Wanted(w) {
		// The platform has the documents that the index lists, unless it is stale.
		s.fetch(w, now, doc, fetchSource{platform: doc.Attempts%2 == 0})
	}
}

// UpToDate reports whether this host holds the newest revision that it knows of,
// from the index or from peers, of every document.
func UpToDate(w *world.World) bool {
	if missesRequired(w) || len(Wanted(w)) > 0 {
		return false
	}
	for _, r := range w.Registers.Prefix(headPrefix) {
		doc := w.Document(strings.TrimPrefix(r.Key, headPrefix))
		if doc.Needs(r.Stamp.Revision) {
			return false
		}
	}
	return true
}

// missesRequired reports whether a document that a host needs to serve requests
// is missing.
func missesRequired(w *world.World) bool {
	return slices.ContainsFunc(w.Required, func(key string) bool {
		if key == world.KeyIndex {
			return w.Index == nil
		}
		return w.Document(key).Revision == 0
	})
}

// Wanted returns the documents for which the index lists a newer revision.
func Wanted(w *world.World) []*world.Document {
	if w.Index == nil {
		return nil
	}
	var wanted []*world.Document
	for shard, revision := range w.Index.Shards {
		held := w.Document(world.KeyShardPrefix + shard)
		if held.Needs(revision) {
			wanted = append(wanted, held)
		}
	}
	return wanted
}

// poll asks the platform directly: early while required documents are missing,
// otherwise at long intervals.
func (s *System) poll(w *world.World, now time.Time) {
	if missesRequired(w) && !now.Before(s.readAt()) {
		if discoveryEnd := w.StartedAt.Add(PeerDiscoveryWait); s.conf.ReaderFailover && !s.conf.IsSeed && len(w.Hosts) <= 1 && now.Before(discoveryEnd) {
			s.directAt = discoveryEnd // other hosts may be discovered by then
			return
		}
		s.directAt = now.Add(max(s.conf.DirectAfter, MinDirectInterval) + jitter(s.rng, s.conf.DirectSpread))
		for _, key := range w.Polled {
			if s.defersToReaders(w, key) {
				continue
			}
			if doc := w.Document(key); doc.Revision == 0 && !s.availableFromPeers(w, now, doc) {
				w.Outbox.Fetches = append(w.Outbox.Fetches, world.Fetch{Key: key, Platform: true})
			}
		}
		return
	}
	// With reader failover, a host that gets no heartbeats becomes a reader. Polls by all hosts,
	// each for the full list of servers, would only add calls.
	if s.conf.ReaderFailover || now.Before(s.nextPoll) {
		return
	}
	interval := hostPollInterval(len(w.Hosts))
	s.nextPoll = now.Add(interval/2 + jitter(s.rng, interval))
	for _, key := range w.Polled {
		w.Outbox.Fetches = append(w.Outbox.Fetches, world.Fetch{Key: key, After: w.Document(key).Revision, Platform: true})
	}
}

// readAt returns when this host may read the platform itself while it lacks documents. With reader
// failover, hosts that others do not know from their settings give these time to read.
func (s *System) readAt() time.Time {
	if !s.conf.ReaderFailover || s.conf.IsSeed {
		return s.directAt
	}
	return startup.ReadAt(s.directAt, s.contactAt, s.readDelay)
}

// defersToReaders reports whether this host leaves reading a document from the platform to
// readers, including itself after a failover: a list of thousands of servers costs the platform
// several megabytes per host. A host that knows no other reads the document itself, as do the few that
// read early while no document has been announced: the known hosts may be turned away by the platform.
func (s *System) defersToReaders(w *world.World, key string) bool {
	if key != world.KeyDiscovered || !s.conf.ReaderFailover || s.conf.IsSeed || len(w.Hosts) <= 1 {
		return false
	}
	nobodyReads := s.readsEarly && len(w.Registers.Prefix(headPrefix)) == 0
	return !nobodyReads
}

// availableFromPeers reports whether a missing document is expected from peers: a reader is
// active, a peer has announced the document, or other hosts ask the platform for it.
func (s *System) availableFromPeers(w *world.World, now time.Time, doc *world.Document) bool {
	if s.failover.heardReader && now.Sub(s.failover.lastHeartbeat) <= heartbeatTimeout {
		return true // a reader will have it soon, or this host takes over from the reader
	}
	if w.Registers.Stamp(HeadKey(doc.Key)) != nil {
		return doc.Attempts <= ParentAttempts
	}
	return !s.conf.IsSeed && len(w.Registers.Prefix(headPrefix)) > 0 && now.Sub(w.StartedAt) < DeferToReadersFor
}

// fetchSource describes where to fetch a document from.
type fetchSource struct {
	holder      string // host that announced the document, may be empty
	holderFirst bool   // ask the holder before the parent: it has capacity for all hosts of its data centre
	platform    bool   // ask only the platform
	nearOnly    bool   // do not ask the holder, which is in another data centre
}

// hostPollInterval returns the poll interval of each host, which grows with the fleet.
func hostPollInterval(hosts int) time.Duration {
	return PollInterval * time.Duration(max(hosts, PollHosts)) / PollHosts
}

func (s *System) fetch(w *world.World, now time.Time, doc *world.Document, source fetchSource) {
	if now.Before(doc.FetchingUntil) {
		return
	}
	doc.FetchingUntil = now.Add(retryAfter(doc))
	doc.Attempts++
	f := world.Fetch{Key: doc.Key, After: doc.BaseRevision(), Platform: source.platform || doc.Attempts > PeerAttempts}
	if !source.platform {
		f.Peers = s.peerAddresses(w, doc, source)
	}
	f.Platform = f.Platform || len(f.Peers) == 0
	w.Outbox.Fetches = append(w.Outbox.Fetches, f)
}

// FetchTimeout returns the time that one peer may take to answer a fetch.
func FetchTimeout(f world.Fetch) time.Duration {
	if f.After == 0 {
		return FirstPeerTimeout
	}
	return PeerTimeout
}

func retryAfter(doc *world.Document) time.Duration {
	if doc.BaseRevision() == 0 {
		return firstRetry(doc)
	}
	return FetchRetry
}

// FetchFailed records that a fetch ended without a document.
func FetchFailed(w *world.World, now time.Time, key string) {
	if doc := w.Document(key); doc.FetchingUntil.After(now.Add(FailedFetchPause)) {
		doc.FetchingUntil = now.Add(FailedFetchPause)
	}
}

// peerAddresses returns the peers to ask, in order. Non-readers ask their parent in the tree,
// so that the holder serves only readers. The holder is asked by hosts without a parent, after
// ParentAttempts, and as the second choice by hosts of a small data centre that hold no
// revision yet. Since a holder may have been replaced and have lost the document, attempts
// after HolderAttempts include a random other host.
func (s *System) peerAddresses(w *world.World, doc *world.Document, source fetchSource) []string {
	var addresses []string
	if upstream := parent(w, doc.Key); upstream != nil && doc.Attempts <= ParentAttempts && !source.holderFirst {
		addresses = append(addresses, upstream.Address)
		if doc.Revision > 0 || len(w.ReaderOrder) > minDirectFetchers {
			return addresses // the holder cannot serve the full document to a large fleet
		}
	}
	if h, ok := w.Hosts[source.holder]; ok && source.holder != w.Self.Host && h.Live() && !slices.Contains(addresses, h.Address) && !source.nearOnly {
		addresses = append(addresses, h.Address)
	}
	if len(addresses) == 0 || doc.Attempts > HolderAttempts {
		addresses = append(addresses, s.randomOtherHost(w, source.nearOnly)...)
	}
	if doc.Revision == 0 && doc.Attempts == HolderAttempts { // parent and holder did not answer
		for _, address := range s.randomOtherHost(w, true) {
			if !slices.Contains(addresses, address) {
				addresses = slices.Insert(addresses, 0, address)
			}
		}
	}
	if doc.Attempts > HolderAttempts && doc.Attempts%2 == 1 { // the holder may hang like the parent
		slices.Reverse(addresses)
	}
	return addresses
}

// randomOtherHost returns the address of a random other live host, if there is one. With nearOnly
// it is one of this data centre if there is one.
func (s *System) randomOtherHost(w *world.World, nearOnly bool) []string {
	var live, near []string
	for _, name := range w.HostNames() {
		if h := w.Hosts[name]; name != w.Self.Host && h.Live() {
			live = append(live, h.Address)
			if h.DataCentre == w.Self.DataCentre {
				near = append(near, h.Address)
			}
		}
	}
	if nearOnly && len(near) > 0 {
		live = near
	}
	if len(live) == 0 {
		return nil
	}
	return []string{live[s.rng.IntN(len(live))]}
}

// maxFetchers returns how many hosts may fetch a document from a host at the same time.
func maxFetchers(w *world.World, host string) int {
	h, ok := w.Hosts[host]
	if !ok {
		return 0
	}
	return max(minDirectFetchers, int(h.Capacity)/capacityPerFetcher)
}

// parent returns the parent of this host in the distribution tree of a key, or nil
// for none. The readers of the data centre are the roots, followed by the other
// hosts in rank order. If the first reader can serve the whole data centre, it is
// the parent of all other hosts.
func parent(w *world.World, key string) *world.Host {
	if IsReader(w) {
		return nil
	}
	if len(w.Readers) > 0 && w.Readers[0] != w.Self.Host && len(w.ReaderOrder) <= maxFetchers(w, w.Readers[0]) {
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
	parentIndex := max((position-len(w.Readers))/treeFanout, 0)
	return w.Hosts[order[parentIndex]]
}

var _ world.System = (*System)(nil)
