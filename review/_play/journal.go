package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// journal records what was sent, answered and run.
type journal struct {
	start time.Time

	mu    sync.Mutex
	lines []string
	runs  map[string][]string // servers that began to work on a request, by its ID
	sent  map[string]string   // kind of the requests sent, by ID
	got   map[string]int      // status of their answers, 0 for a connection that ended without one
}

func newJournal() *journal {
	return &journal{start: time.Now(), runs: make(map[string][]string), sent: make(map[string]string), got: make(map[string]int)}
}

func (j *journal) add(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.append(format, args...)
}

func (j *journal) append(format string, args ...any) {
	j.lines = append(j.lines, fmt.Sprintf("%9.4f s  ", time.Since(j.start).Seconds())+fmt.Sprintf(format, args...))
}

// run records that a server began to work on a request.
func (j *journal) run(id, server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id] = append(j.runs[id], server)
	j.append("server %s  runs %s (run %d of this request)", server, id, len(j.runs[id]))
}

func (j *journal) send(id, kind, host string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sent[id] = kind
	j.append("client  sends %s (%s) to %s", id, kind, host)
}

func (j *journal) answered(id string, status int, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.got[id] = status
	j.append("client  gets %d for %s %s", status, id, detail)
}

// about returns the lines that name a request.
func (j *journal) about(id string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []string
	for _, line := range j.lines {
		if strings.Contains(line, id) {
			found = append(found, line)
		}
	}
	return found
}

// write writes the verdict, what is known of the requests that broke the rule, and all lines.
func (j *journal) write(path string, verdict []string, broken []string) error {
	var b strings.Builder
	for _, line := range verdict {
		fmt.Fprintln(&b, line)
	}
	for _, id := range broken[:min(len(broken), 5)] {
		fmt.Fprintln(&b, "\nrequest", id)
		for _, line := range j.about(id) {
			fmt.Fprintln(&b, " ", line)
		}
	}
	fmt.Fprintln(&b, "\nall that was sent, answered and run")
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, line := range j.lines {
		fmt.Fprintln(&b, line)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
