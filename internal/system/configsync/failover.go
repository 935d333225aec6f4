package configsync

import (
	"fmt"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/world"
)

// A single reader per data centre is cheap, but it may crash, be cut off, be slow
// or be rejected by the platform. It therefore sends heartbeats with the age of
// its last platform answer to the hosts of its data centre, and other hosts take
// over if the heartbeats stop or the age grows too large.
const (
	// HeartbeatInterval is the interval between a reader's heartbeats.
	HeartbeatInterval = 250 * time.Millisecond
	// staleAfter is the maximum age of a reader's last answer from the platform.
	// An idle platform answers a watch every second, and a heartbeat may be lost.
	staleAfter = 1600 * time.Millisecond
	// staleRankDelay is the additional delay per rank before a host takes over, so
	// that not all hosts ask a platform that is unavailable to every host.
	staleRankDelay = 200 * time.Millisecond
	// minDirectFetchers is the number of hosts that any reader serves directly. In a
	// data centre of up to that size the tree is bypassed: each of its levels costs
	// up to FetchRetry, while the reader sends at most some 2 MB for a change of
	// 50 KB. A large reader serves one host per capacityPerFetcher, in thousandths of
	// a core, if that is more.
	minDirectFetchers  = 40
	capacityPerFetcher = 4
	// heartbeatTimeout is the time without heartbeats after which a host reads the
	// platform itself, since it may be cut off from its peers. It equals five
	// heartbeat intervals.
	heartbeatTimeout = 1250 * time.Millisecond
	// startGrace is added to heartbeatTimeout when a host starts. Hosts that start
	// together choose readers after 1 s and receive the first heartbeats some 0.3 s
	// later; each has just read the platform itself. A missing reader is thus
	// detected 2 s after the start.
	startGrace = 750 * time.Millisecond
)

// readerFailover is a host's view of the readers of its data centre, and its own role.
type readerFailover struct {
	// lastHeartbeat is the time of the last heartbeat from any reader,
	// lastReaderAnswer the time of the newest platform answer that heartbeats have
	// reported.
	lastHeartbeat    time.Time
	lastReaderAnswer time.Time
	// heardReader is set once a heartbeat has been received.
	heardReader bool
	// lastOwnAnswer is the time at which the platform last answered this host's watch.
	lastOwnAnswer time.Time
	// active is set while this host has taken over from a reader.
	active bool
	// wasReader reports whether this host was a reader at its last tick.
	wasReader bool
	// nextHeartbeat is the time at which this host's next heartbeat is due.
	nextHeartbeat time.Time
}

// PlatformAnswered records that the platform has answered this host's watch.
func (s *System) PlatformAnswered(w *world.World, now time.Time) {
	s.failover.lastOwnAnswer = now
	w.Platform.Answered(now)
}

// HandleHeartbeat handles a heartbeat received from a reader.
func (s *System) HandleHeartbeat(w *world.World, now time.Time, d *peerpb.Datagram) {
	s.failover.lastHeartbeat = now
	s.failover.heardReader = true
	if !d.Unanswered {
		s.notePlatformAnswer(w, now.Add(-time.Duration(d.AnswerAgeMs)*time.Millisecond))
	}
	for _, head := range d.Heads {
		doc := w.Document(head.Key)
		if doc.Needs(head.Revision) {
			s.fetch(w, now, doc, fetchSource{holder: d.From, holderFirst: len(w.ReaderOrder) <= maxFetchers(w, d.From)})
		}
	}
}

// notePlatformAnswer records the time at which the platform last answered a reader.
func (s *System) notePlatformAnswer(w *world.World, at time.Time) {
	w.Platform.Answered(at)
	if at.After(s.failover.lastReaderAnswer) {
		s.failover.lastReaderAnswer = at
	}
}

// updateReaderRole decides whether this host takes over from a reader.
func (s *System) updateReaderRole(w *world.World, now time.Time) {
	if !s.conf.ReaderFailover {
		return
	}
	answerAge := now.Sub(s.failover.lastReaderAnswer)
	heartbeatAge := now.Sub(s.failover.lastHeartbeat)
	rank := slices.Index(w.ReaderOrder, w.Self.Host)
	takeOverAge := staleAfter + time.Duration(max(rank, 0))*staleRankDelay
	switch {
	case heartbeatAge > heartbeatTimeout:
		s.failover.active = true
	case rank >= 0 && answerAge > takeOverAge:
		s.failover.active = true
	case answerAge < staleAfter:
		s.failover.active = false
	}
	w.IsSubstituteReader = s.failover.active
	s.recordRoleChange(w, now, heartbeatAge, answerAge)
}

// recordRoleChange records an event when this host becomes a reader or ceases to be one.
func (s *System) recordRoleChange(w *world.World, now time.Time, heartbeatAge, answerAge time.Duration) {
	isReader := IsReader(w)
	if isReader == s.failover.wasReader {
		return
	}
	s.failover.wasReader = isReader
	switch {
	case !isReader:
		w.Record(now, event.ReadingEnded, "", "", "")
	case w.IsSubstituteReader:
		detail := fmt.Sprintf("took over: no reader heartbeat for %s, no platform answer at a reader for %s", heartbeatAge.Round(time.Millisecond), answerAge.Round(time.Millisecond))
		w.Record(now, event.ReadingBegan, "", "", detail)
	default:
		w.Record(now, event.ReadingBegan, "", "", "reader")
	}
}

// sendHeartbeat queues a heartbeat if this host is a reader and one is due or a
// document has changed.
func (s *System) sendHeartbeat(w *world.World, now time.Time) {
	changed := w.HeadsChanged
	w.HeadsChanged = false
	if !s.conf.ReaderFailover || !IsReader(w) {
		return
	}
	if now.Before(s.failover.nextHeartbeat) && !changed {
		return
	}
	s.failover.nextHeartbeat = now.Add(HeartbeatInterval)
	d := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_HEARTBEAT}
	if s.failover.lastOwnAnswer.IsZero() {
		d.Unanswered = true // without a heartbeat, all hosts would read until this one has the full list
	} else {
		d.AnswerAgeMs = uint32(now.Sub(s.failover.lastOwnAnswer).Milliseconds())
	}
	for _, key := range w.Required {
		d.Heads = append(d.Heads, &peerpb.Head{Key: key, Revision: w.Document(key).Revision})
	}
	var recipients []string
	for _, name := range w.HostNames() {
		h := w.Hosts[name]
		if h.Live() && h.DataCentre == w.Self.DataCentre && name != w.Self.Host {
			recipients = append(recipients, name)
		}
	}
	w.Outbox.Heartbeats = append(w.Outbox.Heartbeats, world.Heartbeat{To: recipients, Datagram: d})
}
