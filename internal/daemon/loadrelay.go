package daemon

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/process"
)

// maxRelayedRows bounds the rows that a host remembers to have received from other data centres, at some
// 100 bytes each. All are forgotten when it is reached; some rows are then passed on twice.
const maxRelayedRows = 8192

// loadRelay decides which rows of reports from other data centres a host passes on: those that differ
// from the last one of the same sender and server, since each report is sent twice by way of different
// hosts.
type loadRelay struct {
	mu   sync.Mutex
	seen map[relayedRow]uint64 // digest of the last row
}

type relayedRow struct {
	from   string
	server process.Server
}

// news returns the rows that are new.
func (r *loadRelay) news(from string, life uint64, rows []*peerpb.BackendLoad) []*peerpb.BackendLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil || len(r.seen) > maxRelayedRows {
		r.seen = make(map[relayedRow]uint64)
	}
	var fresh []*peerpb.BackendLoad
	for _, row := range rows {
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(row)
		if err != nil {
			continue
		}
		key := relayedRow{from, process.Server{Service: row.Service, ID: row.Backend}}
		digest := xxhash.Sum64(raw) ^ life
		if r.seen[key] != digest {
			r.seen[key] = digest
			fresh = append(fresh, row)
		}
	}
	return fresh
}

// passOn sends a report from another data centre to the hosts of this one that use the servers, if the
// sender asks for it.
func (d *Daemon) passOn(report *peerpb.Datagram) {
	if report.Near {
		return
	}
	rows := d.loadRelay.news(report.From, report.Life, report.Loads)
	if !report.PassOn || len(rows) == 0 {
		return
	}
	snap := d.engine.Snapshot()
	for _, m := range snap.Sharing.Local(rows, snap.ServiceRings) {
		d.datagrams.Send(&peerpb.Datagram{Kind: peerpb.Datagram_KIND_LOAD, From: report.From, Life: report.Life, Loads: m.Loads}, m.To...)
	}
}
