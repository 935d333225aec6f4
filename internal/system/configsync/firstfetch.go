package configsync

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/startup"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// directBytes bounds what a host sends of a document to the hosts that it serves directly when
	// all start at once: a small host, with 10 Mbit/s, sends it within 0.4 s, a large one in a
	// twentieth of that.
	directBytes = 512 << 10
	// firstHedge is the time after which a host asks another source for its first documents. A source
	// that was killed refuses the connection at once; one that is cut off does not answer.
	firstHedge = 500 * time.Millisecond
)

// Announced returns the newest revision of a document that any host has announced, or nil.
func Announced(w *world.World, key string) *peerpb.Head {
	r, ok := w.Registers.Get(HeadKey(key))
	if !ok {
		return nil
	}
	head := &peerpb.Head{}
	if proto.Unmarshal(r.Value, head) != nil {
		return nil
	}
	return head
}

// DirectFetchers returns how many hosts of its data centre this host serves with its first documents.
// The others fetch from these.
func DirectFetchers(w *world.World, now time.Time) int {
	direct := treeFanout
	if self := w.Hosts[w.Self.Host]; self != nil {
		direct = max(treeFanout, int(self.Capacity)/capacityPerFetcher)
	}
	for _, key := range w.Required {
		doc := w.Document(key)
		if doc.Revision == 0 {
			continue
		}
		resp, err := Answer(w, now, doc, 0) // cached
		if err == nil && len(resp.Document) > 0 {
			direct = min(direct, directBytes/len(resp.Document))
		}
	}
	return max(direct, treeFanout)
}

// FetchFromSources fetches the documents that this host lacks from the hosts that a welcome names, and
// from the sender of the welcome if these do not have them.
func FetchFromSources(w *world.World, now time.Time, d *peerpb.Datagram) {
	for _, head := range d.Heads {
		doc := w.Document(head.Key)
		if doc.Revision > 0 || !slices.Contains(w.Required, head.Key) || now.Before(doc.FetchingUntil) {
			continue
		}
		var peers []string
		for _, host := range []string{head.Holder, d.From} {
			if h, ok := w.Hosts[host]; ok && host != w.Self.Host && !slices.Contains(peers, h.Address) {
				peers = append(peers, h.Address)
			}
		}
		if len(peers) == 0 {
			continue
		}
		doc.FetchingUntil = now.Add(FirstFetchRetry)
		if doc.Attempts == 0 {
			doc.FetchingUntil = now.Add(firstHedge)
		}
		doc.Attempts++
		w.Outbox.Fetches = append(w.Outbox.Fetches, world.Fetch{Key: head.Key, Peers: peers})
	}
}

// leavesToNearer reports whether this host leaves fetching its first revision of a document from a host
// of another data centre to others of its data centre, from which it then gets it.
func (s *System) leavesToNearer(w *world.World, now time.Time, doc *world.Document, holder string) bool {
	h, ok := w.Hosts[holder]
	if !ok || doc.Revision > 0 || h.DataCentre == w.Self.DataCentre {
		return false
	}
	heard, ok := s.heardAt[doc.Key]
	if !ok {
		heard = now
		s.heardAt[doc.Key] = now
	}
	rank := slices.Index(w.ReaderOrder, w.Self.Host)
	return rank > 0 && !startup.MayFetchFar(rank, now.Sub(heard))
}
