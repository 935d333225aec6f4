package quarantine

import (
	"slices"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/content"
	"github.com/pearshelf/pearshelf/internal/rendezvous"
)

// Message is what this host has to tell another one.
type Message struct {
	To     string // host name
	Ends   []*peerpb.ServerEnd
	Served [][]byte
	Asks   [][]byte // contents that this host would try
	Grants [][]byte // contents that the other host may try
	// Answered are contents in quarantine that this host has seen answered before.
	Answered [][]byte
}

func (t *Table) homesOf(id content.ID) []string {
	return rendezvous.Top(id.String(), t.fleet.Homes, homesPerContent)
}

// reportCrashes tells hosts of the ends that this one has seen.
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

// reportToNewHomes tells those that have become a content's home.
func (t *Table) reportToNewHomes(now time.Time, s *suspect) {
	if len(s.observed) == 0 {
		return
	}
	added := slices.DeleteFunc(t.homesOf(s.id), func(host string) bool { return slices.Contains(s.notified, host) })
	t.reportCrashes(now, s, added)
}
