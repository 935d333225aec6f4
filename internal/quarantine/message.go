package quarantine

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/content"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

// Message is a message to another host.
type Message struct {
	To            string              // host name
	Ends          []*peerpb.ServerEnd // crashes that this host has observed
	Served        [][]byte            // contents that were answered
	TrialRequests [][]byte            // contents for which this host requests a trial
	GrantedTrials [][]byte            // contents for which the receiver is granted a trial
	// Answered are contents in quarantine that this host has seen answered before the crashes.
	Answered [][]byte
}

// homesOf returns the home hosts of a content by rank.
func (t *Table) homesOf(id content.ID) []string {
	return rendezvous.Top(id.String(), t.fleet.Homes, homesPerContent)
}

// reportCrashes reports the crashes that this host has observed to other hosts.
func (t *Table) reportCrashes(now time.Time, s *suspect, hosts []string) {
	for _, host := range hosts {
		if host == t.self {
			continue
		}
		message := Message{To: host}
		for _, e := range s.observed {
			message.Ends = append(message.Ends, &peerpb.ServerEnd{Content: s.id[:], Scope: peerpb.QuarantineScope(e.Scope), Service: e.Service, Server: e.Server, AgeMs: ageMs(now, e.At)})
		}
		t.messages = append(t.messages, message)
		if !slices.Contains(s.notified, host) {
			s.notified = append(s.notified, host)
		}
	}
}

// reportToNewHomes reports this host's observed crashes to hosts that have become a home of the
// content since the last report.
func (t *Table) reportToNewHomes(now time.Time, s *suspect) {
	if len(s.observed) == 0 {
		return
	}
	added := slices.DeleteFunc(t.homesOf(s.id), func(host string) bool { return slices.Contains(s.notified, host) })
	t.reportCrashes(now, s, added)
}
