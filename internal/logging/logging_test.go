package logging_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"github.com/pearshelf/pearshelf/internal/logging"
)

func TestLinesArriveInOrder(t *testing.T) {
	var out bytes.Buffer
	w := logging.NewWriter(&out)
	var want bytes.Buffer
	for i := range 100 {
		line := fmt.Appendf(nil, "line %d\n", i)
		want.Write(line)
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	if out.String() != want.String() || w.Dropped() != 0 {
		t.Errorf("%d dropped, got %q", w.Dropped(), out.String())
	}
}

// A stalled reader of standard output must not block callers of Write: every
// Write returns, and lines that do not fit in the queue are counted.
func TestStalledReaderBlocksNobody(t *testing.T) {
	stalled, reader := newStalled()
	w := logging.NewWriter(stalled)
	const lines = 20_000
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if dropped := w.Dropped(); dropped < lines/2 {
		t.Errorf("%d of %d lines dropped; the queue must be bounded", dropped, lines)
	}
	reader.Close()
	w.Close()
}

// newStalled returns a writer that blocks until its reader is closed.
func newStalled() (io.Writer, io.Closer) {
	r, w := io.Pipe()
	return w, r
}

// A goroutine may still log while the program exits: Write after Close must not
// fail.
func TestWriteAfterClose(t *testing.T) {
	var out bytes.Buffer
	w := logging.NewWriter(&out)
	w.Close()
	if _, err := w.Write([]byte("late\n")); err != nil {
		t.Fatal(err)
	}
	if out.Len() != 0 {
		t.Errorf("%q was written after Close", out.String())
	}
}
