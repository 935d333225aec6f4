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
	// clearedAt is when the content was last answered; older ends do not count.
	clearedAt time.Time
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
	trials   map[content.ID]time.Time // when the last trial of a content began here

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
		trials:   make(map[content.ID]time.Time),
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

// SetView tells of the contents in quarantine.
func (t *Table) SetView(view *View) { t.view = view }

// Watches reports whether this host has evidence of any content: only then must it be told
// of answers.
func (t *Table) Watches() bool { return len(t.suspects) > 0 }

// Ended takes what this host has seen itself.
func (t *Table) Ended(now time.Time, id content.ID, end End) {
	end.Host = t.self
	s := t.suspect(now, id)
	s.own = append(s.own, end)
	s.tellAgain = now.Add(tellAgainAfter)
	t.tell(now, s, t.homesOf(id))
	t.add(now, s, end)
}

// Served takes that a server has answered a request of a content whole.
func (t *Table) Served(now time.Time, id content.ID) {
	s, known := t.suspects[id]
	if !known && t.view.Get(id) == nil {
		return
	}
	for _, home := range t.homesOf(id) {
		if home != t.self {
			t.out = append(t.out, Message{To: home, Served: [][]byte{id[:]}})
		}
	}
	if known {
		t.clear(now, s)
	}
	t.lift(id)
}

// Receive takes what a witness tells this host as a home.
func (t *Table) Receive(now time.Time, from string, ends []*peerpb.ServerEnd, served [][]byte) {
	for _, told := range ends {
		id, ok := content.FromBytes(told.Content)
		if !ok || told.Server == "" {
			continue // not of this version of the daemon
		}
		t.add(now, t.suspect(now, id), End{Service: told.Service, Server: told.Server, At: now.Add(-age(told)), Host: from})
	}
	for _, raw := range served {
		id, ok := content.FromBytes(raw)
		if !ok {
			continue // likewise
		}
		t.clear(now, t.suspect(now, id))
		t.lift(id)
	}
}

// Trial reports whether this host may send a content whose hold is over, once, to see
// whether it still ends servers.
func (t *Table) Trial(now time.Time, q *Quarantine) bool {
	first := rendezvous.Top(q.Content.String(), t.fleet.Homes, 1)
	if len(first) == 0 || first[0] != t.self || now.Before(q.Until) {
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

// add notes the end of a server, once for each server.
func (t *Table) add(now time.Time, s *suspect, end End) {
	if !end.At.After(s.clearedAt) || now.Sub(end.At) > knownFor {
		return
	}
	for _, known := range s.ends {
		if known.Server == end.Server {
			return
		}
	}
	s.ends = append(s.ends, end)
	t.consider(now, s)
}

// consider makes a decision due where there is evidence for one.
func (t *Table) consider(now time.Time, s *suspect) {
	if !s.decideAt.IsZero() || !t.isDue(s) {
		return
	}
	rank := slices.Index(t.homesOf(s.id), t.self)
	if rank < 0 {
		if len(s.own) < serversEnded {
			return // the homes decide
		}
		rank = homes // unless none of them does
	}
	s.decideAt = now.Add(time.Duration(rank) * rankDelay)
	t.decideIfDue(now, s)
}

// isDue reports whether a content's ends call for a quarantine, or for a longer one.
func (t *Table) isDue(s *suspect) bool {
	q := t.view.Get(s.id)
	if q == nil {
		return t.unexplained(s) >= serversEnded
	}
	return slices.ContainsFunc(s.ends, func(e End) bool { return e.At.After(q.Until) && !q.covers(e.Server) })
}

// unexplained counts the servers whose end no other content in quarantine explains.
func (t *Table) unexplained(s *suspect) int {
	n := 0
	for _, e := range s.ends {
		if !t.view.explains(s.id, e.Server) {
			n++
		}
	}
	return n
}

// explains reports whether another content than id was at a server that ended.
func (v *View) explains(id content.ID, server string) bool {
	if v == nil {
		return false
	}
	for other, q := range v.byContent {
		if other != id && q.covers(server) {
			return true
		}
	}
	return false
}

// decideIfDue puts a content under quarantine once this home's time has come.
func (t *Table) decideIfDue(now time.Time, s *suspect) {
	if s.decideAt.IsZero() || now.Before(s.decideAt) {
		return
	}
	s.decideAt = time.Time{}
	if !t.isDue(s) {
		return // another home has decided, or another content explains the ends
	}
	if !t.mayDecide(now) {
		s.decideAt = t.second.Add(time.Second)
		return
	}
	trials := 0
	if q := t.view.Get(s.id); q != nil {
		trials = q.Trials + 1
	}
	ends := s.ends[max(len(s.ends)-maxEnds, 0):]
	t.decisions = append(t.decisions, Decision{Quarantine: &Quarantine{
		Content: s.id,
		Service: ends[len(ends)-1].Service,
		Ends:    slices.Clone(ends),
		Until:   now.Add(hold(trials)),
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

// clear forgets the ends of a content that has been answered.
func (t *Table) clear(now time.Time, s *suspect) {
	s.clearedAt = now
	s.ends = nil
	s.own = nil
	s.decideAt = time.Time{}
	s.tellAgain = time.Time{}
}

// lift ends the quarantine of a content.
func (t *Table) lift(id content.ID) {
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
			message.Ends = append(message.Ends, &peerpb.ServerEnd{Content: s.id[:], Service: e.Service, Server: e.Server, AgeMs: ageMs(now, e.At)})
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
	for id, s := range t.suspects {
		if now.Sub(s.changed) > knownFor {
			delete(t.suspects, id)
			continue
		}
		t.decideIfDue(now, s)
		if !s.tellAgain.IsZero() && !now.Before(s.tellAgain) {
			s.tellAgain = time.Time{}
			t.tell(now, s, t.homesOf(id))
		}
	}
	for id, began := range t.trials {
		if now.Sub(began) > trialPause {
			delete(t.trials, id)
		}
	}
}

// Due is when Tick must be called at the latest, zero for never.
func (t *Table) Due() time.Time {
	var due time.Time
	for _, s := range t.suspects {
		for _, at := range [...]time.Time{s.decideAt, s.tellAgain, s.changed.Add(knownFor)} {
			if !at.IsZero() && (due.IsZero() || at.Before(due)) {
				due = at
			}
		}
	}
	return due
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
