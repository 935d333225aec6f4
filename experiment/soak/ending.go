package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// A request that ends the server which runs it comes again all the while, through any host.
const (
	pathEnding = pathRead + "/ends-servers"
	// endingAfter is the share of a run's length after which it begins to come, so that
	// faults have begun.
	endingAfter = 0.2
	// leastEnding and mostEnding lie between two of it.
	leastEnding = 100 * time.Millisecond
	mostEnding  = 400 * time.Millisecond
	// serverAway is how long a server needs to start again.
	serverAway = 700 * time.Millisecond
	// endsGrace is when hosts must know it, and endsAllowed how often it may be sent after
	// that: the users' bounds.
	endsGrace   = 3 * time.Second
	endsAllowed = 3
)

// ending is what the request has done.
type ending struct {
	mu   sync.Mutex
	ends []time.Time
}

func (e *ending) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ends)
}

// ran notes a run at a server, and ends the server if that is what it does.
func (s *soak) ran(server int, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, pathEnding) {
		s.journal.ran(r)
		return
	}
	s.ending.mu.Lock()
	s.ending.ends = append(s.ending.ends, time.Now())
	s.ending.mu.Unlock()
	l := s.serverLinks[server]
	l.Down()
	time.AfterFunc(serverAway, func() {
		if err := l.Up(); err != nil && s.conf.Progress != nil {
			fmt.Fprintln(s.conf.Progress, "server not back:", err)
		}
	})
}

// startEndingCaller sends the request to hosts at random until stop.
func (s *soak) startEndingCaller(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	rng := rand.New(rand.NewPCG(s.conf.Seed, 0))
	client := &http.Client{Timeout: callerPatience}
	var running sync.WaitGroup
	running.Go(func() {
		defer client.CloseIdleConnections()
		pause(ctx, time.Duration(endingAfter*float64(s.conf.Length)))
		for ctx.Err() == nil {
			s.sendEnding(ctx, client, s.hosts[rng.IntN(len(s.hosts))])
			pause(ctx, leastEnding+time.Duration(rng.Int64N(int64(mostEnding-leastEnding))))
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

func (s *soak) sendEnding(ctx context.Context, client *http.Client, h *host) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address+pathEnding, nil)
	if err != nil {
		return
	}
	if resp, err := client.Do(req); err == nil {
		resp.Body.Close() // it never gets a whole answer
	}
}

// checkEnds counts the servers that the request has ended although hosts had to know it. A
// joint kill may take the memory of all hosts, which allows for as many as at first.
func (s *soak) checkEnds() []Finding {
	s.ending.mu.Lock()
	defer s.ending.mu.Unlock()
	if len(s.ending.ends) <= endsAllowed {
		return nil
	}
	known := s.ending.ends[endsAllowed-1].Add(endsGrace)
	late := 0
	for _, at := range s.ending.ends {
		if at.After(known) {
			late++
		}
	}
	s.mu.Lock()
	allowed := endsAllowed * (1 + s.faults["joint kill"])
	s.mu.Unlock()
	if late <= allowed {
		return nil
	}
	return []Finding{{Rule: "servers ended", Detail: fmt.Sprintf("a request ended %d servers later than %s after it had ended the third, %d at most are allowed", late, endsGrace, allowed)}}
}
