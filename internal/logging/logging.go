// Package logging writes the log to standard output without ever blocking the
// work that it tells of: lines wait in a bounded queue, and what does not fit is
// dropped and counted.
package logging

import (
	"flag"
	"io"
	"strconv"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// queueLines bounds the lines that wait for a slow reader of standard output,
// at some 300 bytes each.
const queueLines = 4096

// passLines bounds the lines that are written in one call, at some 300 bytes each.
const passLines = 64

// Writer passes lines on in the background. Write never blocks.
type Writer struct {
	queue   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.pass(out, line)
		case <-w.closing:
			for len(w.queue) > 0 {
				w.pass(out, <-w.queue)
			}
			return
		}
	}
}

// pass writes a line and those that are queued behind it in one call: each call costs a
// wake-up of the reader.
func (w *Writer) pass(out io.Writer, lines []byte) {
	count := 1
	for ; count < passLines && len(w.queue) > 0; count++ {
		lines = append(lines, <-w.queue...)
	}
	if _, err := out.Write(lines); err != nil {
		w.dropped.Add(int64(count)) // there is nowhere else to tell it
	}
}

// Write queues a copy of a line, or drops it if the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued and ends the writer. Lines that other goroutines
// still write are not passed on. Close is called once.
func (w *Writer) Close() {
	close(w.closing)
	<-w.done
}

// Use sends klog's lines to the writer, up to a verbosity.
func Use(w *Writer, verbosity int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	settings := map[string]string{
		"logtostderr":     "false",
		"alsologtostderr": "false",
		"stderrthreshold": "FATAL",
		"v":               strconv.Itoa(verbosity),
	}
	for name, value := range settings {
		if err := flags.Set(name, value); err != nil {
			return err
		}
	}
	klog.SetOutput(w)
	return nil
}
