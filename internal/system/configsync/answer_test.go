package configsync_test

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/system/configsync"
)

// A document of the greatest size passes from host to host whole. A longer one is refused, not
// truncated: a truncated YAML document may be valid.
func TestLargestDocumentFromPeer(t *testing.T) {
	for extra, accepted := range map[int]bool{0: true, 1: false} {
		raw := bytes.Repeat([]byte("x"), config.MaxDocumentBytes+extra)
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		if _, err := writer.Write(raw); err != nil {
			t.Fatal(err)
		}
		if err := writer.Close(); err != nil {
			t.Fatal(err)
		}
		got, err := configsync.DecodeContent(&peerpb.DocumentResponse{Document: compressed.Bytes(), Gzipped: true})
		if accepted && (err != nil || !bytes.Equal(got, raw)) {
			t.Errorf("%d bytes: got %d bytes, error %v", len(raw), len(got), err)
		}
		if !accepted && err == nil {
			t.Errorf("%d bytes: accepted as %d bytes", len(raw), len(got))
		}
	}
}
