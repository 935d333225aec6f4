package quarantine

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/content"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

// Fleet is the hosts that may be a content's home.
type Fleet struct {
	// Version grows with every change.
	Version uint64
	// Homes are the hosts, this one included.
	Homes []rendezvous.Node
}

// Message is what this host has to tell another one.
type Message struct {
	To     string // host name
	Ends   []*peerpb.ServerEnd
	Served [][]byte
	Asks   [][]byte // contents that this host would try
	Grants [][]byte // contents that the other host may try
}

// Decision is a change that all hosts must be told of.
type Decision struct {
	// Quarantine begins or is renewed; nil for a content that is cleared.
	Quarantine *Quarantine
	Cleared    content.ID
}

// suspect is what a host knows of a content.
type suspect struct {
	id   content.ID
	ends []End
	// own are those of the ends that this host has seen itself, told the hosts that were
	// told of them, and tellAgain when they are told once more, zero if they have been.
	own       []End
	told      []string
	tellAgain time.Time
	// decideAt is when this home decides, unless another has; zero if nothing is due.
	decideAt time.Time
	changed  time.Time
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
	due     time.Time
	// trials are when this host, as first home, last let a content be tried; asked when it
	// last asked another one, and granted until when it may send a content itself.
	trials  map[content.ID]time.Time
	asked   map[content.ID]time.Time
	granted map[content.ID]time.Time

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
		trials:   make(map[content.ID]time.Time),
		asked:    make(map[content.ID]time.Time),
		granted:  make(map[content.ID]time.Time),
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

// SetView tells of the contents in quarantine. What was known of one that is no longer, by
// an operator's word, an answer or the time, counts no more.
func (t *Table) SetView(view *View) {
	for _, q := range t.view.All() {
		if view.Get(q.Content) == nil {
			delete(t.suspects, q.Content)
		}
	}
	t.view = view
}

// Watches reports whether this host has evidence of any content: only then must it be told
// of answers.
func (t *Table) Watches() bool { return len(t.suspects) > 0 }

// Ended takes what this host has seen itself.
func (t *Table) Ended(now time.Time, id content.ID, end End) {
	end.Host = t.self
	s := t.suspect(now, id)
	s.own = newest(append(s.own, end))
	s.tellAgain = now.Add(tellAgainAfter)
	t.dueBy(s.tellAgain)
	t.tell(now, s, t.homesOf(id))
	t.add(now, s, end)
}

// Served takes that a server has answered a request of a content whole.
func (t *Table) Served(now time.Time, id content.ID) {
	if t.suspects[id] == nil && t.view.Get(id) == nil {
		return
	}
	for _, home := range t.homesOf(id) {
		if home != t.self {
			t.out = append(t.out, Message{To: home, Served: [][]byte{id[:]}})
		}
	}
	t.clear(now, id)
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

// Trial reports whether this host may send a content whose hold is over, once, to see
// whether it still ends servers. If not, it asks the first home, for the next time.
func (t *Table) Trial(now time.Time, q *Quarantine) bool {
	id := q.Content
	if until, granted := t.granted[id]; granted {
		delete(t.granted, id)
		return now.Before(until)
	}
	first := t.homesOf(id)[0]
	if first == t.self {
		return t.grant(now, q)
	}
	if asked, known := t.asked[id]; !known || now.Sub(asked) >= askAgain {
		t.asked[id] = now
		t.out = append(t.out, Message{To: first, Asks: [][]byte{id[:]}})
	}
	return false
}

// grant reports whether a content may be tried now, by one host.
func (t *Table) grant(now time.Time, q *Quarantine) bool {
	if now.Before(q.Until) {
		return false
	}
	if began, tried := t.trials[q.Content]; tried && now.Sub(began) < trialPause {
		return false
	}
	t.trials[q.Content] = now
	return true
}

// suspect returns the row of a content, made if absent.
func (t *Table) suspect(now time.Time, id content.ID) *suspect {
	s, ok := t.suspects[id]
	if !ok {
		t.makeRoom()
		s = &suspect{id: id}
		t.suspects[id] = s
		t.dueBy(now.Add(knownFor))
	}
	s.changed = now
	return s
}

// makeRoom drops the row that has been unchanged for longest, if there are too many.
func (t *Table) makeRoom() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest *suspect
	for _, s := range t.suspects {
		if oldest == nil || s.changed.Before(oldest.changed) {
			oldest = s
		}
	}
	delete(t.suspects, oldest.id)
}

// counts reports whether an end is still evidence against a content.
func (t *Table) counts(now time.Time, id content.ID, end End) bool {
	cleared, known := t.cleared[id]
	return now.Sub(end.At) <= knownFor && (!known || end.At.After(cleared))
}

// add notes the end of a server, once however many hosts tell of it.
func (t *Table) add(now time.Time, s *suspect, end End) {
	if slices.ContainsFunc(s.ends, end.same) {
		return
	}
	s.ends = newest(append(s.ends, end))
	t.consider(now, s)
}

// newest keeps as many ends as are of use.
func newest(ends []End) []End { return ends[max(len(ends)-maxEnds, 0):] }

// consider makes a decision due where there is evidence for one.
func (t *Table) consider(now time.Time, s *suspect) {
	if !s.decideAt.IsZero() || !t.isDue(s) {
		return
	}
	rank := slices.Index(t.homesOf(s.id), t.self)
	if rank < 0 {
		if len(s.own) == 0 || len(s.own) < s.own[0].Scope.needed() {
			return // the homes decide
		}
		rank = homes // unless none of them does
	}
	s.decideAt = now.Add(time.Duration(rank) * rankDelay)
	t.dueBy(s.decideAt)
	t.decideIfDue(now, s)
}

// isDue reports whether a content's ends call for a quarantine, or for a longer one.
func (t *Table) isDue(s *suspect) bool {
	q := t.view.Get(s.id)
	if q == nil {
		return len(s.ends) > 0 && len(s.ends) >= s.ends[0].Scope.needed()
	}
	return slices.ContainsFunc(s.ends, func(e End) bool { return e.At.After(q.Until) && !q.covers(e) })
}

// decideIfDue puts a content under quarantine once this home's time has come.
func (t *Table) decideIfDue(now time.Time, s *suspect) {
	if s.decideAt.IsZero() || now.Before(s.decideAt) {
		return
	}
	s.decideAt = time.Time{}
	if !t.isDue(s) {
		return // another home has decided
	}
	if !t.mayDecide(now) {
		s.decideAt = t.second.Add(time.Second)
		t.dueBy(s.decideAt)
		return
	}
	trials := 0
	if q := t.view.Get(s.id); q != nil {
		trials = q.Trials + 1
	}
	scope := s.ends[0].Scope
	t.decisions = append(t.decisions, Decision{Quarantine: &Quarantine{
		Content: s.id,
		Scope:   scope,
		Service: s.ends[len(s.ends)-1].Service,
		Ends:    slices.Clone(s.ends),
		Until:   now.Add(scope.hold(trials)),
		Trials:  trials,
	}})
}

// mayDecide counts a decision against the bound of this second.
func (t *Table) mayDecide(now time.Time) bool {
	if now.Sub(t.second) >= time.Second {
		t.second = now
		t.decided = 0
	}
	t.decided++
	return t.decided <= maxDecisions
}

// clear forgets the ends of a content that has been answered, and ends its quarantine.
func (t *Table) clear(now time.Time, id content.ID) {
	delete(t.suspects, id)
	if len(t.cleared) < maxSuspects {
		t.cleared[id] = now
		t.dueBy(now.Add(knownFor))
	}
	if t.view.Get(id) != nil {
		t.decisions = append(t.decisions, Decision{Cleared: id})
	}
}

func (t *Table) homesOf(id content.ID) []string {
	return rendezvous.Top(id.String(), t.fleet.Homes, homes)
}

// tell tells hosts of the ends that this one has seen.
func (t *Table) tell(now time.Time, s *suspect, hosts []string) {
	for _, host := range hosts {
		if host == t.self {
			continue
		}
		message := Message{To: host}
		for _, e := range s.own {
			message.Ends = append(message.Ends, &peerpb.ServerEnd{Content: s.id[:], Scope: peerpb.QuarantineScope(e.Scope), Service: e.Service, Server: e.Server, AgeMs: ageMs(now, e.At)})
		}
		t.out = append(t.out, message)
		if !slices.Contains(s.told, host) {
			s.told = append(s.told, host)
		}
	}
}

// tellNewHomes tells those that have become a content's home.
func (t *Table) tellNewHomes(now time.Time, s *suspect) {
	if len(s.own) == 0 {
		return
	}
	added := slices.DeleteFunc(t.homesOf(s.id), func(host string) bool { return slices.Contains(s.told, host) })
	t.tell(now, s, added)
}

// Tick does what the time calls for.
func (t *Table) Tick(now time.Time) {
	t.due = time.Time{}
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
		t.dueBy(s.decideAt)
		t.dueBy(s.tellAgain)
		t.dueBy(s.changed.Add(knownFor))
	}
	forgetBefore(t.cleared, now.Add(-knownFor))
	forgetBefore(t.trials, now.Add(-trialPause))
	forgetBefore(t.asked, now.Add(-askAgain))
	forgetBefore(t.granted, now)
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
func (t *Table) Due() time.Time { return t.due }

// dueBy makes Tick due at a time, or earlier.
func (t *Table) dueBy(at time.Time) {
	if !at.IsZero() && (t.due.IsZero() || at.Before(t.due)) {
		t.due = at
	}
}

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
