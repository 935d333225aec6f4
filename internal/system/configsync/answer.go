package configsync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// compressFrom is the size in bytes from which a document is compressed.
	compressFrom = 2 << 10
	// answerHolds is for how long an answer to others is given again as it is: several hosts
	// ask for the same at a time, and times left in it are a little too long then.
	answerHolds = 400 * time.Millisecond
	// maxDocumentBytes bounds what a compressed document may become.
	maxDocumentBytes = 16 << 20
)

// compressors are kept: each takes 0.8 MB.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Answer returns the revision that this host holds of a document and the document, or the
// change to it, that brings a host which holds an older revision up to date.
func Answer(w *world.World, now time.Time, doc *world.Document, after uint64) (*peerpb.DocumentResponse, error) {
	if doc.Incomplete {
		return &peerpb.DocumentResponse{}, nil
	}
	if doc.Revision <= after {
		return &peerpb.DocumentResponse{Revision: doc.Revision}, nil
	}
	if doc.Answers.Revision != doc.Revision || now.Sub(doc.Answers.MadeAt) > answerHolds {
		doc.Answers = world.DocumentAnswers{Revision: doc.Revision, MadeAt: now, ByHeld: make(map[uint64]*peerpb.DocumentResponse)}
	}
	if made, ok := doc.Answers.ByHeld[after]; ok {
		return made, nil
	}
	raw, err := contentFor(w, now, doc, after)
	if err != nil {
		return nil, err
	}
	resp := &peerpb.DocumentResponse{Revision: doc.Revision, Document: raw}
	if len(raw) >= compressFrom {
		resp.Document, resp.Gzipped = compress(raw), true
	}
	doc.Answers.ByHeld[after] = resp
	return resp, nil
}

// contentFor is what a host needs that holds a revision.
func contentFor(w *world.World, now time.Time, doc *world.Document, held uint64) ([]byte, error) {
	if doc.Key != world.KeyDiscovered {
		return doc.Raw, nil
	}
	raw, err := json.Marshal(w.Registry.Since(now, held))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindConfig, "list of backend servers cannot be written", "report this as a fault of pearshelf")
	}
	return raw, nil
}

func compress(raw []byte) []byte {
	var out bytes.Buffer
	writer := compressors.Get().(*gzip.Writer)
	defer compressors.Put(writer)
	writer.Reset(&out)
	_, _ = writer.Write(raw) // to memory
	_ = writer.Close()
	return out.Bytes()
}

// Content is the document of another host's answer.
func Content(resp *peerpb.DocumentResponse) ([]byte, error) {
	if !resp.Gzipped {
		return resp.Document, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(resp.Document))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindPeer, "document of another host cannot be read", "nothing to do: it is asked for again")
	}
	raw, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindPeer, "document of another host broke off", "nothing to do: it is asked for again")
	}
	return raw, nil
}
