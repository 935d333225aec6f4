package daemon

import (
	"cmp"
	"context"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/claims"
	"github.com/pearshelf/pearshelf/internal/crosszone"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
	"github.com/pearshelf/pearshelf/internal/world"
)

// peerService handles synchronous calls from other hosts.
type peerService struct{ d *Daemon }

// Sync handles a full state exchange.
func (s *peerService) Sync(ctx context.Context, req *peerpb.SyncRequest) (resp *peerpb.SyncResponse, err error) {
	err = s.d.engine.Do(ctx, func(_ *world.World, now time.Time) { resp = s.d.engine.AnswerSync(now, req) })
	if err == nil {
		s.d.countAnswer(crosszone.Comparison, req.From, resp)
	}
	return resp, err
}

// Document returns a platform document if this host holds a newer revision than the
// requested one. If this host is fetching one, the call waits for it for up to
// configsync.DocumentWait.
func (s *peerService) Document(ctx context.Context, req *peerpb.DocumentRequest) (*peerpb.DocumentResponse, error) {
	for deadline := time.Now().Add(configsync.DocumentWait); ; {
		var resp *peerpb.DocumentResponse
		var pending bool
		var failed error
		err := s.d.engine.Do(ctx, func(_ *world.World, now time.Time) { resp, pending, failed = s.d.engine.AnswerDocument(now, req) })
		if err != nil || failed != nil {
			return nil, cmp.Or(err, failed)
		}
		if !pending || time.Now().After(deadline) {
			s.d.metrics.DocumentSent(req.Key, len(resp.GetDocument()))
			s.d.countAnswer(crosszone.Document, req.From, resp)
			return resp, nil
		}
		wait(ctx, configsync.DocumentPollInterval)
	}
}

// Claim decides whether a request may run under an idempotency key.
func (s *peerService) Claim(_ context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	key := claims.Key{Service: req.Service, Key: req.Key}
	decision, holder := s.d.claims.Claim(key, req.RequestId, time.Duration(req.HoldMs)*time.Millisecond)
	return &peerpb.ClaimResponse{Decision: decision, HolderRequestId: holder}, nil
}

// Release releases a claim on an idempotency key.
func (s *peerService) Release(_ context.Context, req *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	s.d.claims.Release(claims.Key{Service: req.Service, Key: req.Key}, req.RequestId, req.Finished)
	return &peerpb.ReleaseResponse{}, nil
}

// Handover returns what this host knows of the servers that a host which has just started uses.
func (s *peerService) Handover(_ context.Context, req *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	if s.d.balance == nil || req.DataCentre != s.d.settings.DataCentre {
		return &peerpb.HandoverResponse{Young: true}, nil
	}
	return s.d.balance.Export(usedBy(s.d.engine.Snapshot(), req.Host)), nil
}

// usedBy returns a function that reports whether a host of this data centre uses a server. If the host
// is not known yet it may use any.
func usedBy(snap *world.Snapshot, host string) func(service, server string) bool {
	used := make(map[string]map[string]bool, len(snap.Services))
	for name, view := range snap.Services {
		subset, known := snap.Sharing.SubsetOf(host, view.Sharing)
		if !known {
			continue
		}
		used[name] = make(map[string]bool, len(subset))
		for _, server := range subset {
			used[name][server] = true
		}
	}
	return func(service, server string) bool {
		servers, known := used[service]
		return !known || servers[server]
	}
}

// Interface guard.
var _ peerpb.Peer = (*peerService)(nil)
