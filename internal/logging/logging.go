// Package logging writes log lines to standard output without blocking the
// goroutines that log: lines are placed in a bounded queue, and lines that do
// not fit are dropped and counted.
package logging

import (
	"flag"
	"io"
	"strconv"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// queueLines is the maximum number of lines queued for a slow reader of standard
// output, at about 300 bytes each.
const queueLines = 4096

// batchLines is the maximum number of lines written in one call, at about 300
// bytes each.
const batchLines = 64

// Writer writes lines to its output in the background. Write never blocks.
type Writer struct {
	queue   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter starts a Writer that writes to out.
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
			w.writeBatch(out, line)
		case <-w.closing:
			for len(w.queue) > 0 {
				w.writeBatch(out, <-w.queue)
			}
			return
		}
	}
}

// writeBatch writes a line and the lines queued behind it in one call, because
// each call wakes up the reader.
func (w *Writer) writeBatch(out io.Writer, lines []byte) {
	count := 1
	for ; count < batchLines && len(w.queue) > 0; count++ {
		lines = append(lines, <-w.queue...)
	}
	if _, err := out.Write(lines); err != nil {
		w.dropped.Add(int64(count)) // the error cannot be reported anywhere else
	}
}

// Write queues a copy of line, or drops it if the queue is full. It never
// returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. Lines that other
// goroutines write after that are discarded. Close must be called only once.
func (w *Writer) Close() {
	close(w.closing)
	<-w.done
}

// SetKlogOutput directs klog's output to w, up to the given verbosity.
func SetKlogOutput(w *Writer, verbosity int) error {
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
