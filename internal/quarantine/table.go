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
	// clearedAt is when contents were last answered that had been suspects; older ends of
	// them do not count.
	clearedAt map[content.ID]time.Time
	answers   *answerHistory
	due       wakeup.Next
	// lastTrial are when this host, as first home, last let a content be tried; asked when it
	// last asked another one, and granted until when it may send a content itself.
	lastTrial        map[content.ID]time.Time
	trialRequestedAt map[content.ID]time.Time
	grantedUntil     map[content.ID]time.Time
	// answeredBefore is when hosts told this one, as first home, that they had seen a content
	// in quarantine answered before.
	answeredBefore map[content.ID]time.Time
	// liftedAt is when this host last decided that a quarantine ends.
	liftedAt map[content.ID]time.Time

	messages  []Message
	decisions []Decision
	// decidedInSecond counts the decisions of the second that began at second.
	decidedInSecond int
	secondStart     time.Time
}

// NewTable returns the table of a host.
func NewTable(self string) *Table {
	return &Table{
		self:             self,
		fleet:            Fleet{Homes: []rendezvous.Node{rendezvous.NewNode(self, "")}},
		suspects:         make(map[content.ID]*suspect),
		clearedAt:        make(map[content.ID]time.Time),
		answers:          newAnswerHistory(),
		lastTrial:        make(map[content.ID]time.Time),
		trialRequestedAt: make(map[content.ID]time.Time),
		grantedUntil:     make(map[content.ID]time.Time),

		answeredBefore: make(map[content.ID]time.Time),

		liftedAt: make(map[content.ID]time.Time),
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
		t.reportToNewHomes(now, s)
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
		case t.answers.clears(q):
			t.clearAnswered(now, q.Content)
		case t.answers.answeredRecently(now, q.Content):
			t.reportAnsweredBefore(now, q.Content)
		}
	}
}

// reportAnsweredBefore lets the first home of a content know that it most likely does nothing wrong,
// so that whichever host gets it next may try it.
func (t *Table) reportAnsweredBefore(now time.Time, id content.ID) {
	first := t.homesOf(id)[0]
	if first == t.self {
		t.answeredBefore[id] = now
		return
	}
	t.messages = append(t.messages, Message{To: first, Answered: [][]byte{id[:]}})
}

// clearAnswered takes that an answer by way of this host clears a content. Only homes lift the
// quarantine: all hosts may have had such an answer.
func (t *Table) clearAnswered(now time.Time, id content.ID) {
	t.reportAnswer(id)
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
	s.observed = newestCrashes(append(s.observed, end))
	s.resendAt = now.Add(resendDelay)
	t.due.Add(s.resendAt)
	t.reportCrashes(now, s, t.homesOf(id))
	t.addCrash(now, s, end)
}

// Served takes that a server has answered a request of a content whole.
func (t *Table) Served(now time.Time, id content.ID) {
	t.answers.record(now, id)
	if t.suspects[id] == nil && t.view.Get(id) == nil {
		return
	}
	t.reportAnswer(id)
	t.clear(now, id)
}

// reportAnswer tells the homes of a content that it was answered.
func (t *Table) reportAnswer(id content.ID) {
	for _, home := range t.homesOf(id) {
		if home != t.self {
			t.messages = append(t.messages, Message{To: home, Served: [][]byte{id[:]}})
		}
	}
}

// Receive takes what another host tells.
func (t *Table) Receive(now time.Time, d *peerpb.Datagram) {
	for _, told := range d.Ends {
		id, known := content.FromBytes(told.Content)
		scope, ok := parseScope(told.Scope)
		if !known || !ok || told.Server == "" {
			continue // not of this version of the daemon
		}
		end := End{Scope: scope, Service: told.Service, Server: told.Server, At: now.Add(-ageOf(told)), Host: d.From}
		if t.isEvidence(now, id, end) {
			t.addCrash(now, t.suspect(now, id), end)
		}
	}
	for _, id := range parseIDs(d.Served) {
		t.clear(now, id)
	}
	for _, id := range parseIDs(d.TrialAsks) {
		if q := t.view.Get(id); q != nil && t.grantTrial(now, q) {
			t.messages = append(t.messages, Message{To: d.From, Grants: [][]byte{id[:]}})
		}
	}
	for _, id := range parseIDs(d.AnsweredBefore) {
		t.answeredBefore[id] = now
	}
	for _, id := range parseIDs(d.TrialGrants) {
		t.grantedUntil[id] = now.Add(trialInterval)
	}
}

// parseIDs reads contents; what is none is not of this version of the daemon.
func parseIDs(raw [][]byte) []content.ID {
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
		if now.Sub(s.updatedAt) >= evidenceTTL {
			delete(t.suspects, id)
			continue
		}
		t.decideIfDue(now, s)
		if !s.resendAt.IsZero() && !now.Before(s.resendAt) {
			s.resendAt = time.Time{}
			t.reportCrashes(now, s, t.homesOf(id))
		}
		t.due.Add(s.decideAt)
		t.due.Add(s.resendAt)
		t.due.Add(s.updatedAt.Add(evidenceTTL))
	}
	deleteBefore(t.clearedAt, now.Add(-evidenceTTL))
	deleteBefore(t.lastTrial, now.Add(-trialInterval))
	deleteBefore(t.trialRequestedAt, now.Add(-trialRequestInterval))
	deleteBefore(t.grantedUntil, now)
	deleteBefore(t.answeredBefore, now.Add(-earlyTrialWindow))
	deleteBefore(t.liftedAt, now.Add(-liftRetryInterval))
}

// deleteBefore drops what is older.
func deleteBefore(times map[content.ID]time.Time, oldest time.Time) {
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
	out := t.messages
	t.messages = nil
	return out
}

// Decisions returns what all hosts must be told of, and forgets it.
func (t *Table) Decisions() []Decision {
	decisions := t.decisions
	t.decisions = nil
	return decisions
}
