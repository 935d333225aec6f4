package quarantine

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/content"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/wakeup"
)

// Fleet is the hosts that may be a content's home.
type Fleet struct {
	// Version grows with every change.
	Version uint64
	// Homes are the hosts, this one included.
	Homes []rendezvous.Node
}

// Table is one host's evidence, as a witness and as a home. It is not safe for concurrent
// use.
type Table struct {
	self     string
	fleet    Fleet
	view     *View
	suspects map[content.ID]*suspect
	// cleared is when contents were last answered that had been suspects; older ends of
	// them do not count.
	cleared map[content.ID]time.Time
	answers *answers
	due     wakeup.Next
	// trials are when this host, as first home, last let a content be tried; asked when it
	// last asked another one, and granted until when it may send a content itself.
	trials  map[content.ID]time.Time
	asked   map[content.ID]time.Time
	granted map[content.ID]time.Time
	// answeredBefore is when hosts told this one, as first home, that they had seen a content
	// in quarantine answered before.
	answeredBefore map[content.ID]time.Time
	// lifted is when this host last decided that a quarantine ends.
	lifted map[content.ID]time.Time

	out       []Message
	decisions []Decision
	// decided counts the decisions of the second that began at second.
	decided int
	second  time.Time
}

// NewTable returns the table of a host.
func NewTable(self string) *Table {
	return &Table{
		self:     self,
		fleet:    Fleet{Homes: []rendezvous.Node{rendezvous.NewNode(self, "")}},
		suspects: make(map[content.ID]*suspect),
		cleared:  make(map[content.ID]time.Time),
		answers:  newAnswers(),
		trials:   make(map[content.ID]time.Time),
		asked:    make(map[content.ID]time.Time),
		granted:  make(map[content.ID]time.Time),

		answeredBefore: make(map[content.ID]time.Time),

		lifted: make(map[content.ID]time.Time),
	}
}

// SetFleet tells of the hosts that are live now. Ends that this host has seen are told to
// new homes.
func (t *Table) SetFleet(now time.Time, fleet Fleet) {
	changed := fleet.Version != t.fleet.Version
	t.fleet = fleet
	if !changed {
		return
	}
	for _, s := range t.suspects {
		t.tellNewHomes(now, s)
	}
}

// SetView tells of the contents in quarantine, and of those that were lifted. Of one that this host
// has seen answered meanwhile it tells the homes: they have decided by what hosts told that lost the
// content to servers' ends, and hear of answers from these hosts only.
func (t *Table) SetView(now time.Time, view *View) {
	before := t.view
	t.view = view
	for _, q := range view.All() {
		switch {
		case before.Get(q.Content) != nil || q.Trials > 0:
		case t.answers.refute(q):
			t.refuted(now, q.Content)
		case t.answers.remember(now, q.Content):
			t.tellAnsweredBefore(now, q.Content)
		}
	}
}

// tellAnsweredBefore lets the first home of a content know that it most likely does nothing wrong,
// so that whichever host gets it next may try it.
func (t *Table) tellAnsweredBefore(now time.Time, id content.ID) {
	first := t.homesOf(id)[0]
	if first == t.self {
		t.answeredBefore[id] = now
		return
	}
	t.out = append(t.out, Message{To: first, Answered: [][]byte{id[:]}})
}

// refuted takes that an answer by way of this host clears a content. Only homes lift the
// quarantine: all hosts may have had such an answer.
func (t *Table) refuted(now time.Time, id content.ID) {
	t.tellServed(id)
	if slices.Contains(t.homesOf(id), t.self) {
		t.clear(now, id)
	}
}

// Watches reports whether this host has evidence of any content.
func (t *Table) Watches() bool { return len(t.suspects) > 0 }

// Ended takes what this host has seen itself.
func (t *Table) Ended(now time.Time, id content.ID, end End) {
	end.Host = t.self
	s := t.suspect(now, id)
	s.own = newest(append(s.own, end))
	s.tellAgain = now.Add(tellAgainAfter)
	t.due.Add(s.tellAgain)
	t.tell(now, s, t.homesOf(id))
	t.add(now, s, end)
}

// Served takes that a server has answered a request of a content whole.
func (t *Table) Served(now time.Time, id content.ID) {
	t.answers.note(now, id)
	if t.suspects[id] == nil && t.view.Get(id) == nil {
		return
	}
	t.tellServed(id)
	t.clear(now, id)
}

// tellServed tells the homes of a content that it was answered.
func (t *Table) tellServed(id content.ID) {
	for _, home := range t.homesOf(id) {
		if home != t.self {
			t.out = append(t.out, Message{To: home, Served: [][]byte{id[:]}})
		}
	}
}

// Receive takes what another host tells.
func (t *Table) Receive(now time.Time, d *peerpb.Datagram) {
	for _, told := range d.Ends {
		id, known := content.FromBytes(told.Content)
		scope, ok := scopeOf(told.Scope)
		if !known || !ok || told.Server == "" {
			continue // not of this version of the daemon
		}
		end := End{Scope: scope, Service: told.Service, Server: told.Server, At: now.Add(-age(told)), Host: d.From}
		if t.counts(now, id, end) {
			t.add(now, t.suspect(now, id), end)
		}
	}
	for _, id := range idsOf(d.Served) {
		t.clear(now, id)
	}
	for _, id := range idsOf(d.TrialAsks) {
		if q := t.view.Get(id); q != nil && t.grant(now, q) {
			t.out = append(t.out, Message{To: d.From, Grants: [][]byte{id[:]}})
		}
	}
	for _, id := range idsOf(d.AnsweredBefore) {
		t.answeredBefore[id] = now
	}
	for _, id := range idsOf(d.TrialGrants) {
		t.granted[id] = now.Add(trialPause)
	}
}

// idsOf reads contents; what is none is not of this version of the daemon.
func idsOf(raw [][]byte) []content.ID {
	var ids []content.ID
	for _, one := range raw {
		if id, ok := content.FromBytes(one); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// Tick does what the time calls for.
func (t *Table) Tick(now time.Time) {
	t.due.Reset()
	for id, s := range t.suspects {
		if now.Sub(s.changed) >= knownFor {
			delete(t.suspects, id)
			continue
		}
		t.decideIfDue(now, s)
		if !s.tellAgain.IsZero() && !now.Before(s.tellAgain) {
			s.tellAgain = time.Time{}
			t.tell(now, s, t.homesOf(id))
		}
		t.due.Add(s.decideAt)
		t.due.Add(s.tellAgain)
		t.due.Add(s.changed.Add(knownFor))
	}
	forgetBefore(t.cleared, now.Add(-knownFor))
	forgetBefore(t.trials, now.Add(-trialPause))
	forgetBefore(t.asked, now.Add(-askAgain))
	forgetBefore(t.granted, now)
	forgetBefore(t.answeredBefore, now.Add(-earlyTrials))
	forgetBefore(t.lifted, now.Add(-liftAgain))
}

// forgetBefore drops what is older.
func forgetBefore(times map[content.ID]time.Time, oldest time.Time) {
	for id, at := range times {
		if at.Before(oldest) {
			delete(times, id)
		}
	}
}

// Due is when Tick must be called at the latest, zero for never.
func (t *Table) Due() time.Time { return t.due.Time() }

// Messages returns what is to be sent, and forgets it.
func (t *Table) Messages() []Message {
	out := t.out
	t.out = nil
	return out
}

// Decisions returns what all hosts must be told of, and forgets it.
func (t *Table) Decisions() []Decision {
	decisions := t.decisions
	t.decisions = nil
	return decisions
}
