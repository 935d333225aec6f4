package configsync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// minCompressBytes is the size from which documents are compressed.
	minCompressBytes = 2 << 10
	// answerCacheTTL is the time for which an answer is reused, since several hosts request the
	// same document at the same time. Remaining times in a reused answer are too long by up to
	// this value.
	answerCacheTTL = 400 * time.Millisecond
)

// compressors is a pool because each gzip writer takes 0.8 MB.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Answer returns the response for a host that holds revision after of a document: the local
// revision and, if that is newer, the document or the delta that brings the host up to date.
func Answer(w *world.World, now time.Time, doc *world.Document, after uint64) (*peerpb.DocumentResponse, error) {
	if doc.Incomplete {
		return &peerpb.DocumentResponse{}, nil
	}
	if doc.Revision <= after {
		return &peerpb.DocumentResponse{Revision: doc.Revision}, nil
	}
	if doc.Answers.Revision != doc.Revision || now.Sub(doc.Answers.MadeAt) > answerCacheTTL {
		doc.Answers = world.DocumentAnswers{Revision: doc.Revision, MadeAt: now, ByBaseRevision: make(map[uint64]*peerpb.DocumentResponse)}
	}
	if cached, ok := doc.Answers.ByBaseRevision[after]; ok {
		return cached, nil
	}
	raw, err := contentFor(w, now, doc, after)
	if err != nil {
		return nil, err
	}
	resp := &peerpb.DocumentResponse{Revision: doc.Revision, Document: raw}
	if len(raw) >= minCompressBytes {
		resp.Document, resp.Gzipped = compress(raw), true
	}
	doc.Answers.ByBaseRevision[after] = resp
	return resp, nil
}

// contentFor returns the full document, or for the list of backend servers the delta from
// the held revision.
func contentFor(w *world.World, now time.Time, doc *world.Document, held uint64) ([]byte, error) {
	if doc.Key != world.KeyDiscovered {
		return doc.Raw, nil
	}
	raw, err := json.Marshal(w.Registry.Since(now, held))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindConfig, "list of backend servers cannot be encoded", "report this as a fault of pearshelf")
	}
	return raw, nil
}

func compress(raw []byte) []byte {
	var out bytes.Buffer
	writer := compressors.Get().(*gzip.Writer)
	defer compressors.Put(writer)
	writer.Reset(&out)
	_, _ = writer.Write(raw) // writes to memory do not fail
	_ = writer.Close()
	return out.Bytes()
}

// DecodeContent returns the document in a peer's response, decompressed if necessary.
func DecodeContent(resp *peerpb.DocumentResponse) ([]byte, error) {
	if !resp.Gzipped {
		return resp.Document, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(resp.Document))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindPeerUnreachable, "document from a peer has no valid gzip header", "no action needed: the document is fetched again")
	}
	raw, err := io.ReadAll(io.LimitReader(reader, config.MaxDocumentBytes+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindPeerUnreachable, "document from a peer cannot be decompressed", "no action needed: the document is fetched again")
	}
	if len(raw) > config.MaxDocumentBytes {
		return nil, errs.New(errs.KindConfig, fmt.Sprintf("document from a peer has more than %d bytes", config.MaxDocumentBytes), "run the same version on all hosts")
	}
	return raw, nil
}

// Confirms reports whether a peer's response confirms a revision: the peer has not been paused itself,
// and holds a revision at least as new as the requesting host's.
func Confirms(fetch world.Fetch, resp *peerpb.DocumentResponse) bool {
	return !fetch.ConfirmFor.IsZero() && !resp.Unconfirmed && resp.Revision > 0 && resp.Revision >= fetch.After
}
