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
	// firstHedge is the time after which a host asks another source for its first documents, plus that
	// to transfer one at hedgeBytesPerSecond, a tenth of what a small host sends. A source that was
	// killed refuses the connection at once; one that is cut off does not answer. maxHedges bounds these
	// requests, since all hosts may be slow.
	firstHedge          = 400 * time.Millisecond
	hedgeBytesPerSecond = 100 << 10
	maxHedges           = 3
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
		if size := SentBytes(w, now, key); size > 0 {
			direct = min(direct, directBytes/size)
		}
	}
	return max(direct, treeFanout)
}

// SentBytes returns the size of a whole document as this host sends it, or 0 if it has none.
func SentBytes(w *world.World, now time.Time, key string) int {
	doc := w.Document(key)
	if doc.Revision == 0 {
		return 0
	}
	resp, err := Answer(w, now, doc, 0) // cached
	if err != nil {
		return 0
	}
	return len(resp.Document)
}

// firstRetry returns the time after which the fetch of a document is repeated of which this host has no
// revision.
func firstRetry(doc *world.Document) time.Duration {
	if doc.ExpectedBytes == 0 || doc.Attempts >= maxHedges {
		return FirstFetchRetry
	}
	return min(firstHedge+time.Duration(doc.ExpectedBytes)*time.Second/hedgeBytesPerSecond, FirstFetchRetry)
}

// FetchFromSources fetches the documents that this host lacks from the hosts that a welcome names, and
// from the sender of the welcome if these do not have them.
func FetchFromSources(w *world.World, now time.Time, d *peerpb.Datagram) {
	for _, head := range d.Heads {
		doc := w.Document(head.Key)
		if doc.Revision > 0 || !slices.Contains(w.Required, head.Key) {
			continue
		}
		doc.ExpectedBytes = max(int(head.Bytes), doc.ExpectedBytes)
		if now.Before(doc.FetchingUntil) {
			// The fetch may have begun before the size was known.
			if until := now.Add(firstRetry(doc)); until.Before(doc.FetchingUntil) {
				doc.FetchingUntil = until
			}
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
		doc.FetchingUntil = now.Add(firstRetry(doc))
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
