package sharing

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// site is a set of hosts and servers in several data centres.
type site struct {
	hosts   []Host
	service *Service
	servers []string
	// dataCentre maps each server to its data centre.
	dataCentre map[string]string
}

func newSite(hosts, servers []int) *site {
	s := &site{}
	of := make(map[string]string)
	for dc, n := range hosts {
		for i := range n {
			name := fmt.Sprintf("h%d-%d", dc, i)
			s.hosts = append(s.hosts, Host{Name: name, Address: name, DataCentre: fmt.Sprint("dc", dc)})
		}
	}
	for dc, n := range servers {
		for i := range n {
			name := fmt.Sprintf("b%d-%d", dc, i)
			of[name] = fmt.Sprint("dc", dc)
			s.servers = append(s.servers, name)
		}
	}
	s.dataCentre = of
	s.service = NewService(of)
	return s
}

// fleet returns the view of host i if the live hosts are hosts.
func fleet(hosts []Host, i int) *Fleet {
	return NewFleet(DefaultRule(), hosts[i], slices.Concat(hosts[:i], hosts[i+1:]))
}

// subsetOf returns a host's subset.
func (s *site) subsetOf(f *Fleet) map[string]bool {
	subset := make(map[string]bool)
	for _, server := range f.Subset(s.service) {
		subset[server] = true
	}
	return subset
}

// Each server is in the subsets of about the same number of hosts of each data centre, whichever
// hosts remain, down to one.
func TestEveryServerIsInSomeSubset(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, hosts := range [][]int{{88, 40, 20}, {12, 12, 12}, {200}, {1}, {3, 0, 40}} {
		s := newSite(hosts, []int{86, 90, 11, 10, 13}[:len(hosts)])
		for _, left := range []int{len(s.hosts), max(len(s.hosts)/2, 1), max(len(s.hosts)/10, 1), 1} {
			random.Shuffle(len(s.hosts), func(i, j int) { s.hosts[i], s.hosts[j] = s.hosts[j], s.hosts[i] })
			s.checkUsers(t, s.hosts[:left])
		}
	}
}

func (s *site) checkUsers(t *testing.T, hosts []Host) {
	t.Helper()
	users := make(map[string]map[string]int) // by server and data centre of the host
	for i, h := range hosts {
		for server := range s.subsetOf(fleet(hosts, i)) {
			if users[server] == nil {
				users[server] = make(map[string]int)
			}
			users[server][h.DataCentre]++
		}
	}
	for _, server := range s.servers {
		if len(users[server]) == 0 {
			t.Fatalf("none of %d hosts uses %s", len(hosts), server)
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(users[s.servers[0]])) {
		least, most := len(hosts), 0
		for _, server := range s.servers {
			if s.dataCentre[server] == s.dataCentre[s.servers[0]] {
				least, most = min(least, users[server][dataCentre]), max(most, users[server][dataCentre])
			}
		}
		if most > least+1 {
			t.Errorf("%d hosts: servers are used by %d to %d hosts of %s", len(hosts), least, most, dataCentre)
		}
	}
}

// In a small fleet each host uses all servers and reports to all hosts.
func TestSmallFleetUsesAllServers(t *testing.T) {
	s := newSite([]int{12, 12, 12}, []int{5, 6, 5})
	f := fleet(s.hosts, 0)
	if got := len(s.subsetOf(f)); got != len(s.servers) {
		t.Errorf("uses %d of %d servers", got, len(s.servers))
	}
	if f.SegmentSize() != 12 {
		t.Errorf("segment of %d hosts, want 12", f.SegmentSize())
	}
	if near := f.Recipients(s.service, "b0-0", "dc0"); len(near) != 11 {
		t.Errorf("%d recipients, want 11", len(near))
	}
}

// The recipients of reports about a server are exactly the hosts whose own computation puts the
// server into their subsets.
func TestAudienceMatchesSubsets(t *testing.T) {
	s := newSite([]int{88, 99, 87}, []int{86, 11, 46})
	f := fleet(s.hosts, 5)
	for _, server := range []string{"b0-3", "b1-0", "b1-10", "b2-45"} {
		for _, dataCentre := range []string{"dc0", "dc1", "dc2"} {
			var users []string
			for i, h := range s.hosts {
				if i != 5 && h.DataCentre == dataCentre && s.subsetOf(fleet(s.hosts, i))[server] {
					users = append(users, h.Name)
				}
			}
			recipients := f.Recipients(s.service, server, dataCentre)
			slices.Sort(recipients)
			slices.Sort(users)
			if !slices.Equal(recipients, users) {
				t.Errorf("%s in %s: recipients %v, used by %v", server, dataCentre, recipients, users)
			}
		}
	}
}

// Segments are disjoint, cover all hosts and are of similar size.
func TestSegmentsAreDisjoint(t *testing.T) {
	for _, n := range []int{1, 7, 8, 15, 16, 35, 88, 220} {
		s := newSite([]int{n}, []int{n})
		for i, h := range s.hosts {
			f := fleet(s.hosts, i)
			if size := f.SegmentSize(); size > n || n >= 8 && (size < 8 || size > 16) {
				t.Fatalf("%d hosts: a segment of %d", n, size)
			}
			for j := range s.hosts {
				mine := i == j || slices.Contains(f.Segment(), s.hosts[j].Address)
				theirs := i == j || slices.Contains(fleet(s.hosts, j).Segment(), h.Address)
				if mine != theirs {
					t.Fatalf("%d hosts: %s and %s disagree on their segment", n, h.Name, s.hosts[j].Name)
				}
			}
		}
	}
}

// Subsets change little when hosts join and leave, so that hosts keep most of their connections and
// of their evidence.
func TestSubsetsAreStable(t *testing.T) {
	s := newSite([]int{60, 60, 60}, []int{86, 86, 86})
	random := rand.New(rand.NewPCG(2, 2))
	shuffled := slices.Clone(s.hosts)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	replaced := slices.Clone(shuffled)
	for i := range len(replaced) / 10 {
		replaced[len(replaced)-1-i].Name += "-new"
	}
	without := slices.DeleteFunc(slices.Clone(shuffled), func(h Host) bool { return h.DataCentre == "dc2" })
	for name, change := range map[string]struct {
		before, after []Host
		kept          float64
	}{
		"one in ten replaced":     {shuffled, replaced, 0.7},
		"one data centre lost":    {shuffled, without, 1},
		"number of hosts doubled": {shuffled[:len(shuffled)/2], shuffled, 0.35}, // subsets become half as wide
	} {
		if kept := s.kept(change.before, change.after); kept < change.kept {
			t.Errorf("%s: a host keeps %.2f of its subset, want %.2f", name, kept, change.kept)
		}
	}
}

// kept returns the fraction of the subsets before a change that hosts still use after it, over
// hosts that remain.
func (s *site) kept(before, after []Host) float64 {
	held, kept := 0, 0
	for i, h := range before[:60] {
		j := slices.Index(after, h)
		if j < 0 {
			continue
		}
		now := s.subsetOf(fleet(after, j))
		for server := range s.subsetOf(fleet(before, i)) {
			held++
			if now[server] {
				kept++
			}
		}
	}
	return float64(kept) / float64(held)
}

// Receivers of the same loads share one message, and each receives only loads of servers that it
// uses.
func TestMessages(t *testing.T) {
	s := newSite([]int{88, 88}, []int{86, 86})
	f := fleet(s.hosts, 0)
	service := func(name string) *Service {
		if name != "seats" {
			return nil
		}
		return s.service
	}
	loads := []*peerpb.BackendLoad{{Service: "seats", Backend: "b0-1"}, {Service: "seats"}, {Service: "gone", Backend: "b0-2"}}
	received := make(map[string][]*peerpb.BackendLoad)
	for _, m := range f.Local(loads, service) {
		if !m.Local || len(m.Loads) == 0 {
			t.Errorf("message %+v", m)
		}
		for _, to := range m.To {
			if received[to] != nil {
				t.Errorf("%s receives more than one message", to)
			}
			received[to] = m.Loads
		}
	}
	audience := f.Recipients(s.service, "b0-1", "dc0")
	for to, got := range received {
		if slices.Contains(got, loads[0]) != slices.Contains(audience, to) || slices.Contains(got, loads[1]) != slices.Contains(f.Segment(), to) {
			t.Errorf("%s receives %v", to, got)
		}
	}
	if len(received) < max(len(audience), len(f.Segment())) {
		t.Errorf("%d receivers", len(received))
	}
	for _, m := range f.Remote(loads[:1], service) {
		if m.Local || !slices.Equal(m.To, slices.Sorted(slices.Values(f.Recipients(s.service, "b0-1", "dc1")))) {
			t.Errorf("remote message %+v", m)
		}
	}
}

// A report to another data centre goes to one host there, and it and the hosts that it passes the report on
// to are those that a direct report would reach; successive reports go by way of different hosts. A data
// centre whose hosts do not pass reports on, as in an earlier version, gets it directly. Otherwise a failure
// would be reported to every user of the server over the expensive link, or some would not hear of it.
func TestRemoteByRelayReachesTheSameHosts(t *testing.T) {
	s := newSite([]int{40, 40, 40}, []int{43, 43, 43})
	service := func(string) *Service { return s.service }
	loads := []*peerpb.BackendLoad{{Service: "seats", Backend: "b1-7", Failed: 1}}
	for i := range s.hosts {
		s.hosts[i].RelaysLoads = s.hosts[i].DataCentre != "dc2"
	}
	f := fleet(s.hosts, 0)
	want := f.Recipients(s.service, "b1-7", "dc1")
	used := make(map[string]bool)
	for turn := range 3 {
		relayed, direct := f.RemoteByRelay(loads, service, turn)
		if len(relayed) != 1 || len(relayed[0].To) != 1 || len(direct) != 1 || len(direct[0].To) != len(f.Recipients(s.service, "b1-7", "dc2")) {
			t.Fatalf("turn %d: relayed %+v, direct %+v", turn, relayed, direct)
		}
		if relayed[0].Loads[0].Segment != f.segmentID {
			t.Error("a relayed report does not name the sender's segment")
		}
		relay := relayed[0].To[0]
		used[relay] = true
		at := slices.IndexFunc(s.hosts, func(h Host) bool { return h.Address == relay })
		reached := []string{relay}
		for _, m := range fleet(s.hosts, at).Local(loads, service) {
			reached = append(reached, m.To...)
		}
		if !slices.Equal(slices.Sorted(slices.Values(reached)), slices.Sorted(slices.Values(want))) {
			t.Errorf("turn %d: %v are reached, want %v", turn, reached, want)
		}
	}
	if len(used) < 3 {
		t.Errorf("three reports went by way of %v", used)
	}
}

// A service that is updated incrementally yields the same subsets and audiences as one built from
// scratch.
func TestUpdatedServiceEqualsNewService(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	s := newSite([]int{30, 20}, []int{40, 17})
	changed := s.service
	held := make(map[string]string)
	for _, server := range s.servers {
		held[server] = fmt.Sprint("dc", server[1:2])
	}
	for round := range 60 {
		var joined, left []Server
		for _, name := range slices.Sorted(maps.Keys(held)) {
			if random.IntN(20) == 0 {
				left = append(left, Server{name, held[name]})
				delete(held, name)
			}
		}
		for i := range random.IntN(5) {
			added := Server{fmt.Sprintf("new%d-%d", round, i), fmt.Sprint("dc", random.IntN(3))}
			joined = append(joined, added)
			held[added.Name] = added.DataCentre
		}
		changed = changed.Updated(joined, left)
		rebuilt := NewService(held)
		f := fleet(s.hosts, random.IntN(len(s.hosts)))
		got, want := f.Subset(changed), f.Subset(rebuilt)
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("round %d: subset %v, want %v as of a new service", round, got, want)
		}
		for name := range held {
			if !slices.Equal(f.Recipients(changed, name, "dc0"), f.Recipients(rebuilt, name, "dc0")) {
				t.Fatalf("round %d: audience of %s differs from that of a new service", round, name)
			}
		}
	}
}
