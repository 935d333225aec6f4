// Package load sends an open-loop stream of requests to a fleet's hosts and
// counts what callers are told.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyUs  = 60_000_000
	figures       = 3
	maxInFlight   = 4096
	requestLimit  = 30 * time.Second
	connsPerHost  = 512
	outcomeHeader = "Pearshelf-Outcome"
	broken        = "broken"
)

// Kind is one sort of request in the mix.
type Kind struct {
	Service string
	Method  string
	Path    string
	// Share of all requests.
	Share float64
	// Keyed requests carry a fresh Idempotency-Key.
	Keyed bool
}

// Config of a Run.
type Config struct {
	// Targets are callers' addresses, IP:port.
	Targets []string
	// Rate in requests a second over all targets.
	Rate  float64
	Mix   []Kind
	Seed  uint64
	Limit time.Duration
}

// Result counts the answers.
type Result struct {
	Sent     int
	Outcomes map[string]int
	// Foreign counts complete answers that were not the request's own.
	Foreign int
	// Latency of complete answers in microseconds.
	Latency *hdrhistogram.Histogram
	// Dropped counts requests not sent because too many were in flight.
	Dropped int
}

// Quantile returns a latency quantile, q from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Run is a stream in progress.
type Run struct {
	conf   Config
	client *http.Client
	rng    *rand.Rand

	mu     sync.Mutex
	result Result
	wg     sync.WaitGroup
	done   chan struct{}
}

// Start begins a stream that ends with ctx or after the limit.
func Start(ctx context.Context, conf Config) *Run {
	r := &Run{
		conf:   conf,
		client: &http.Client{Timeout: requestLimit, Transport: &http.Transport{MaxIdleConnsPerHost: connsPerHost}},
		rng:    rand.New(rand.NewPCG(conf.Seed, 3)),
		result: Result{Outcomes: make(map[string]int), Latency: hdrhistogram.New(1, maxLatencyUs, figures)},
		done:   make(chan struct{}),
	}
	go r.send(ctx)
	return r
}

// Wait returns the result once the stream has ended and all answers are in.
func (r *Run) Wait() Result {
	<-r.done
	r.wg.Wait()
	r.client.CloseIdleConnections()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result
}

// Sent returns the number of requests so far.
func (r *Run) Sent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result.Sent
}

func (r *Run) send(ctx context.Context) {
	defer close(r.done)
	tokens := make(chan struct{}, maxInFlight)
	start := time.Now()
	next := time.Duration(0)
	for n := 0; ctx.Err() == nil && next < r.conf.Limit; n++ {
		next += time.Duration(r.rng.ExpFloat64() / r.conf.Rate * float64(time.Second))
		time.Sleep(time.Until(start.Add(next)))
		kind := r.pick()
		target := r.conf.Targets[r.rng.IntN(len(r.conf.Targets))]
		select {
		case tokens <- struct{}{}:
		default:
			r.mu.Lock()
			r.result.Dropped++
			r.mu.Unlock()
			continue
		}
		due := start.Add(next)
		r.wg.Go(func() {
			defer func() { <-tokens }()
			r.one(kind, target, n, due)
		})
	}
}

func (r *Run) pick() Kind {
	at := r.rng.Float64()
	for _, kind := range r.conf.Mix {
		if at < kind.Share {
			return kind
		}
		at -= kind.Share
	}
	return r.conf.Mix[len(r.conf.Mix)-1]
}

// one sends a request; its latency counts from when it was due, so that a slow
// sender does not hide a slow fleet.
func (r *Run) one(kind Kind, target string, n int, due time.Time) {
	body := fmt.Sprintf("load-%d-%d.", r.conf.Seed, n)
	outcome, foreign := r.call(kind, target, body)
	latency := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Outcomes[outcome]++
	if foreign {
		r.result.Foreign++
	}
	if outcome == "complete" {
		_ = r.result.Latency.RecordValue(min(latency.Microseconds(), maxLatencyUs)) // within range
	}
}

func (r *Run) call(kind Kind, target, body string) (outcome string, foreign bool) {
	req, err := http.NewRequest(kind.Method, "http://"+target+kind.Path, bytes.NewBufferString(body))
	if err != nil {
		return broken, false
	}
	if kind.Keyed {
		req.Header.Set("Idempotency-Key", body)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return broken, false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return broken, false
	}
	outcome = resp.Header.Get(outcomeHeader)
	own := resp.StatusCode != http.StatusOK || bytes.Contains(raw, []byte(body))
	return outcome, outcome == "complete" && !own
}
