package quarantine

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/content"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
	"github.com/pearshelf/pearshelf/internal/wakeup"
)

// Fleet is the set of hosts that may be the home of a content.
type Fleet struct {
	// Version increases with every change.
	Version uint64
	// Homes are the hosts, including this one.
	Homes []rendezvous.Node
}

// Table holds one host's evidence, both observed by itself and reported to it as a home. It is
// not safe for concurrent use.
type Table struct {
	self     string
	fleet    Fleet
	view     *View
	suspects map[content.ID]*suspect
	// clearedAt holds when suspects were last cleared by an answer; earlier crashes are no
	// evidence against them.
	clearedAt map[content.ID]time.Time
	answers   *answerHistory
	due       wakeup.Next
	// lastTrial holds when this host, as first home, last granted a trial of a content;
	// trialRequestedAt when it last requested one from another host; and grantedUntil until
	// when it may use a trial that was granted to it.
	lastTrial        map[content.ID]time.Time
	trialRequestedAt map[content.ID]time.Time
	grantedUntil     map[content.ID]time.Time
	// answeredBefore holds when other hosts reported to this one, as first home, that they
	// remember an answer to a content from before its quarantine.
	answeredBefore map[content.ID]time.Time
	// liftedAt holds when this host last decided to lift a quarantine.
	liftedAt map[content.ID]time.Time

	messages  []Message
	decisions []Decision
	// decidedInSecond counts the decisions of the second that began at secondStart.
	decidedInSecond int
	secondStart     time.Time
}

// NewTable returns an empty table for the host named self.
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

// SetFleet sets the live hosts. Crashes that this host has observed are reported to new homes.
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

// SetView sets the quarantines in force and those that were lifted. If this host remembers an answer
// to a content that is newly in quarantine, it reports that to the homes: they have decided on the
// reports of hosts that observed the crashes, and learn of answers from these hosts only.
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

// reportAnsweredBefore reports to the first home of a content that it was answered before the
// crashes and is most likely harmless, so that the next host that receives it may try it.
func (t *Table) reportAnsweredBefore(now time.Time, id content.ID) {
	first := t.homesOf(id)[0]
	if first == t.self {
		t.answeredBefore[id] = now
		return
	}
	t.messages = append(t.messages, Message{To: first, Answered: [][]byte{id[:]}})
}

// clearAnswered handles a quarantine that this host's remembered answers refute. Only homes lift it,
// because every host may remember such an answer.
func (t *Table) clearAnswered(now time.Time, id content.ID) {
	t.reportAnswer(id)
	if slices.Contains(t.homesOf(id), t.self) {
		t.clear(now, id)
	}
}

// HasEvidence reports whether this host holds evidence against any content.
func (t *Table) HasEvidence() bool { return len(t.suspects) > 0 }

// RecordCrash records a crash that this host has observed itself, and reports it to the content's homes.
func (t *Table) RecordCrash(now time.Time, id content.ID, crash Crash) {
	crash.Host = t.self
	s := t.suspect(now, id)
	s.observed = newestCrashes(append(s.observed, crash))
	s.resendAt = now.Add(resendDelay)
	t.due.Add(s.resendAt)
	t.reportCrashes(now, s, t.homesOf(id))
	t.addCrash(now, s, crash)
}

// RecordAnswer records that a server has given a complete answer to a content.
func (t *Table) RecordAnswer(now time.Time, id content.ID) {
	t.answers.record(now, id)
	if t.suspects[id] == nil && t.view.Get(id) == nil {
		return
	}
	t.reportAnswer(id)
	t.clear(now, id)
}

// reportAnswer reports to the homes of a content that it was answered.
func (t *Table) reportAnswer(id content.ID) {
	for _, home := range t.homesOf(id) {
		if home != t.self {
			t.messages = append(t.messages, Message{To: home, Served: [][]byte{id[:]}})
		}
	}
}

// Receive processes a datagram from another host.
func (t *Table) Receive(now time.Time, d *peerpb.Datagram) {
	for _, report := range d.Ends {
		id, known := content.FromBytes(report.Content)
		scope, ok := parseScope(report.Scope)
		if !known || !ok || report.Server == "" {
			continue // sent by another version of the daemon
		}
		crash := Crash{Scope: scope, Service: report.Service, Server: report.Server, At: now.Add(-ageOf(report)), Host: d.From}
		if t.isEvidence(now, id, crash) {
			t.addCrash(now, t.suspect(now, id), crash)
		}
	}
	for _, id := range parseIDs(d.Served) {
		t.clear(now, id)
	}
	for _, id := range parseIDs(d.TrialAsks) {
		if q := t.view.Get(id); q != nil && t.grantTrial(now, q) {
			t.messages = append(t.messages, Message{To: d.From, GrantedTrials: [][]byte{id[:]}})
		}
	}
	for _, id := range parseIDs(d.AnsweredBefore) {
		t.answeredBefore[id] = now
	}
	for _, id := range parseIDs(d.TrialGrants) {
		t.grantedUntil[id] = now.Add(trialInterval)
	}
}

// parseIDs decodes content IDs. It skips invalid ones, which come from another version of the daemon.
func parseIDs(raw [][]byte) []content.ID {
	var ids []content.ID
	for _, one := range raw {
		if id, ok := content.FromBytes(one); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// Tick runs the decisions and resends that are due, and drops expired entries.
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

// deleteBefore deletes entries older than oldest.
func deleteBefore(times map[content.ID]time.Time, oldest time.Time) {
	for id, at := range times {
		if at.Before(oldest) {
			delete(times, id)
		}
	}
}

// Due returns the latest time for the next call of Tick, zero if none is needed.
func (t *Table) Due() time.Time { return t.due.Time() }

// Messages returns and clears the messages to send.
func (t *Table) Messages() []Message {
	out := t.messages
	t.messages = nil
	return out
}

// Decisions returns and clears the decisions to send to all hosts.
func (t *Table) Decisions() []Decision {
	decisions := t.decisions
	t.decisions = nil
	return decisions
}
