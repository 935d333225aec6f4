package dispatch

import (
	"bytes"
	"io"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/pearshelf/pearshelf/internal/memory"
)

// uploadOf returns a body of n distinguishable bytes.
func uploadOf(n int) []byte {
	body := make([]byte, n)
	source := rand.NewPCG(1, 2)
	for i := range body {
		body[i] = byte(source.Uint64())
	}
	return body
}

// An upload whose first server sheds it after a part of the body must be sent to the next server whole.
func TestLargeBodyIsSentAgainWhole(t *testing.T) {
	want := uploadOf(300 << 10)
	budget := memory.NewBudget(64 << 20)
	r := newRecording(bytes.NewReader(want), 1<<20, budget)
	first, _ := r.open()
	if _, err := io.CopyN(io.Discard, first, 100<<10); err != nil {
		t.Fatal(err)
	}
	second, ok := r.open()
	if !ok {
		t.Fatal("the body cannot be sent again")
	}
	got, err := io.ReadAll(second)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d bytes, error %v; want the %d bytes of the body", len(got), err, len(want))
	}
	r.close()
	if held := budget.InUse(); held != 0 {
		t.Errorf("%d bytes are still reserved", held)
	}
}

// The transport may go on reading for an attempt that has ended. It must not take bytes from the
// attempt that follows.
func TestReaderOfEndedAttemptTakesNoBytes(t *testing.T) {
	want := uploadOf(512 << 10)
	r := newRecording(bytes.NewReader(want), 1<<20, memory.NewBudget(64<<20))
	first, _ := r.open()
	second, _ := r.open()
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = io.Copy(io.Discard, first) })
	got, err := io.ReadAll(second)
	wg.Wait()
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d bytes, error %v; want the %d bytes of the body", len(got), err, len(want))
	}
}

// A body that exceeds the limit, or the host's memory, is streamed once and never sent in part.
func TestBodyBeyondLimitIsStreamedOnce(t *testing.T) {
	for name, r := range map[string]*recording{
		"limit":  newRecording(bytes.NewReader(uploadOf(200<<10)), 100<<10, memory.NewBudget(64<<20)),
		"memory": newRecording(bytes.NewReader(uploadOf(200<<10)), 1<<20, memory.NewBudget(1<<10)),
	} {
		first, _ := r.open()
		got, err := io.ReadAll(first)
		if err != nil || len(got) != 200<<10 {
			t.Errorf("%s: the first attempt read %d bytes, error %v", name, len(got), err)
		}
		if _, ok := r.open(); ok {
			t.Errorf("%s: the body is offered to a second attempt", name)
		}
	}
}
