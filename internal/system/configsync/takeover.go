package configsync

import (
	"fmt"
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/event"
	"github.com/pearshelf/pearshelf/internal/world"
)

// One reader in each data centre is cheap and may be killed, cut off, slow or
// turned away by the platform. It therefore tells the hosts of its data centre
// every HeartbeatEvery that it reads and how old its knowledge is, and others
// read in its place when that is missing or too old.
const (
	// HeartbeatEvery is the period of a reader's heartbeats.
	HeartbeatEvery = 250 * time.Millisecond
	// staleAfter is how old the reader's last answer from the platform may be.
	// A quiet platform answers a watch every second, and a heartbeat may be lost.
	staleAfter = 1600 * time.Millisecond
	// staleStep delays the next in rank, so that not all ask a platform that is
	// away for everybody.
	staleStep = 200 * time.Millisecond
	// nearReaderHosts is up to how many hosts of a data centre fetch a document
	// from its reader themselves: a step of the tree costs up to FetchRetry, and
	// the reader sends at most some 2 MB for a change of 50 KB. A large reader serves
	// one for each capacityPerHost, in thousandths of a core.
	nearReaderHosts = 40
	capacityPerHost = 4
	// silentAfter is when a host that hears no reader at all reads by itself: it
	// may be cut off from its peers. Five heartbeats would be lost by then.
	silentAfter = 1250 * time.Millisecond
	// startGrace is added to it at a host's start. Hosts that start together
	// choose readers after 1 s, and hear them some 0.3 s later; each has just read
	// the platform itself. Silence then shows after 2 s.
	startGrace = 750 * time.Millisecond
)

// takeOver is what a host knows of the readers of its data centre.
type takeOver struct {
	// heard is when a reader was last heard, fresh when one that was had last
	// got an answer from the platform.
	heard time.Time
	fresh time.Time
	// hearsReader is set once a reader was heard.
	hearsReader bool
	// answered is when the platform last answered this host's own watch.
	answered time.Time
	// reading is set while this host stands in for a reader.
	reading bool
	// wasReader is whether this host read the platform at its last tick.
	wasReader bool
	// next is when the next heartbeat of this host is due.
	next time.Time
}

// Answered notes that the platform has answered this host's watch.
func (s *System) Answered(w *world.World, now time.Time) {
	s.standIn.answered = now
	w.Platform.Answered(now)
}

// Heartbeat takes a reader's heartbeat.
func (s *System) Heartbeat(w *world.World, now time.Time, d *peerpb.Datagram) {
	s.standIn.heard = now
	s.standIn.hearsReader = true
	if !d.Unanswered {
		s.heardAnswer(w, now.Add(-time.Duration(d.AnswerAgeMs)*time.Millisecond))
	}
	for _, head := range d.Heads {
		doc := w.Document(head.Key)
		if doc.Lacks(head.Revision) {
			s.fetch(w, now, doc, fetchPlan{holder: d.From, near: len(w.ReaderOrder) <= servesHosts(w, d.From)})
		}
	}
}

// heardAnswer takes when the platform last answered a reader.
func (s *System) heardAnswer(w *world.World, at time.Time) {
	w.Platform.Answered(at)
	if at.After(s.standIn.fresh) {
		s.standIn.fresh = at
	}
}

// chooseReader decides whether this host stands in for a reader.
func (s *System) chooseReader(w *world.World, now time.Time) {
	if !s.conf.StandIn {
		return
	}
	stale := now.Sub(s.standIn.fresh)
	silent := now.Sub(s.standIn.heard)
	rank := slices.Index(w.ReaderOrder, w.Self.Host)
	due := staleAfter + time.Duration(max(rank, 0))*staleStep
	switch {
	case silent > silentAfter:
		s.standIn.reading = true
	case rank >= 0 && stale > due:
		s.standIn.reading = true
	case stale < staleAfter:
		s.standIn.reading = false
	}
	w.StandsIn = s.standIn.reading
	s.recordReading(w, now, silent, stale)
}

// recordReading tells when this host begins to read the platform and when it ends.
func (s *System) recordReading(w *world.World, now time.Time, silent, stale time.Duration) {
	reads := IsReader(w)
	if reads == s.standIn.wasReader {
		return
	}
	s.standIn.wasReader = reads
	switch {
	case !reads:
		w.Record(now, event.ReadingEnded, "", "", "")
	case w.StandsIn:
		detail := fmt.Sprintf("stands in: no reader heard for %s, none with an answer for %s", silent.Round(time.Millisecond), stale.Round(time.Millisecond))
		w.Record(now, event.ReadingBegan, "", "", detail)
	default:
		w.Record(now, event.ReadingBegan, "", "", "reader")
	}
}

// beat queues this host's heartbeat if it reads and one is due, or at once
// after a document changed.
func (s *System) beat(w *world.World, now time.Time) {
	changed := w.HeadsChanged
	w.HeadsChanged = false
	if !s.conf.StandIn || !IsReader(w) {
		return
	}
	if now.Before(s.standIn.next) && !changed {
		return
	}
	s.standIn.next = now.Add(HeartbeatEvery)
	d := &peerpb.Datagram{Kind: peerpb.Datagram_KIND_HEARTBEAT}
	if s.standIn.answered.IsZero() {
		d.Unanswered = true // else all hosts would read until this one has the whole list
	} else {
		d.AnswerAgeMs = uint32(now.Sub(s.standIn.answered).Milliseconds())
	}
	for _, key := range w.Required {
		d.Heads = append(d.Heads, &peerpb.Head{Key: key, Revision: w.Document(key).Revision})
	}
	var near []string
	for _, name := range w.HostNames() {
		h := w.Hosts[name]
		if h.Live() && h.DataCentre == w.Self.DataCentre && name != w.Self.Host {
			near = append(near, name)
		}
	}
	w.Out.Heartbeats = append(w.Out.Heartbeats, world.Heartbeat{To: near, Datagram: d})
}
