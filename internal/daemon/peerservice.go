package daemon

import (
	"context"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/claims"
	"github.com/pearshelf/pearshelf/internal/world"
)

// peerService answers the synchronous calls of other hosts.
type peerService struct{ d *Daemon }

// Sync compares full states.
func (s *peerService) Sync(ctx context.Context, req *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	resp := &peerpb.SyncResponse{}
	err := s.d.engine.Do(ctx, func(_ *world.World, now time.Time) {
		if len(req.Members) == 0 && req.Digest == s.d.engine.Digest() {
			resp.Same = true
			return
		}
		if len(req.Members) > 0 {
			s.d.engine.Merge(now, req.Members, req.Registers, req.Clock)
			s.d.engine.Synced()
		}
		state := s.d.engine.State(now)
		resp.Members = state.Members
		resp.Registers = state.Registers
		resp.Clock = state.Clock
	})
	return resp, err
}

// Document returns a platform document if this host holds a newer one.
func (s *peerService) Document(ctx context.Context, req *peerpb.DocumentRequest) (*peerpb.DocumentResponse, error) {
	resp := &peerpb.DocumentResponse{}
	err := s.d.engine.Do(ctx, func(w *world.World, _ time.Time) {
		doc, ok := w.Documents[req.Key]
		if !ok {
			return
		}
		resp.Revision = doc.Revision
		if doc.Revision > req.After {
			resp.Document = doc.Raw
		}
	})
	return resp, err
}

// Claim decides on an idempotency key.
func (s *peerService) Claim(_ context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	key := claims.Key{Service: req.Service, Key: req.Key}
	decision, holder := s.d.claims.Claim(key, req.RequestId, time.Duration(req.HoldMs)*time.Millisecond)
	return &peerpb.ClaimResponse{Decision: decision, HolderRequestId: holder}, nil
}

// Release ends a claim.
func (s *peerService) Release(_ context.Context, req *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	s.d.claims.Release(claims.Key{Service: req.Service, Key: req.Key}, req.RequestId, req.Finished)
	return &peerpb.ReleaseResponse{}, nil
}

// Interface guard.
var _ peerpb.Peer = (*peerService)(nil)
