// Package latency measures what the fleet adds to a request against a direct
// call to the same backend server in the same run.
package latency

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

const (
	hosts  = 6
	settle = 2 * time.Second
	warmUp = 200
)

// Result is the spread of one way's round trips.
type Result struct {
	Way         string
	Median, P99 time.Duration
}

// way is one path of requests.
type way struct {
	name   string
	url    string
	method string
	keyed  bool
}

// Run sends requests one after another over each way in turn.
func Run(ctx context.Context, requests int) ([]Result, error) {
	f, err := fleet.StartReady(ctx, fleet.Config{
		Hosts: hosts, DataCentres: []string{"dc1"},
		Services: []config.Service{{
			Name: "s", Slots: 8,
			Routes:   []config.Route{{Path: "/s", Idempotent: true}, {Path: "/s/post"}},
			Backends: []config.Backend{{ID: "b1"}, {ID: "b2"}},
		}},
		Backend: func(_ string, b config.Backend) backend.Config { return backend.Config{ID: b.ID, Slots: 8} },
		Settings: func(_ int, s *settings.Settings) {
			s.Timing.ClaimHorizon = config.Duration(time.Second)
		},
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	time.Sleep(settle)
	owner, entry := split(f)
	ways := []way{
		{"direct", "http://" + f.Backends["s"]["b1"].Address() + "/s/x", "GET", false},
		{"through an owner host", "http://" + owner + "/s/x", "GET", false},
		{"through an entry and an owner host", "http://" + entry + "/s/x", "GET", false},
		{"non-idempotent with key, entry and owner", "http://" + entry + "/s/post", "POST", true},
	}
	return measure(ways, requests)
}

// split names a host that owns the service and one that does not.
func split(f *fleet.Fleet) (owner, entry string) {
	for _, d := range f.Hosts {
		if d.Snapshot().Services["s"].SelfOwner {
			owner = d.CallerAddress()
		} else {
			entry = d.CallerAddress()
		}
	}
	return owner, entry
}

func measure(ways []way, requests int) ([]Result, error) {
	times := make([][]time.Duration, len(ways))
	client := &http.Client{}
	for n := range requests + warmUp {
		for i, w := range ways { // in turn, so that all see the same machine
			took, err := w.call(client, n)
			if err != nil {
				return nil, err
			}
			if n >= warmUp {
				times[i] = append(times[i], took)
			}
		}
	}
	var results []Result
	for i, w := range ways {
		slices.Sort(times[i])
		results = append(results, Result{Way: w.name, Median: times[i][requests/2], P99: times[i][requests*99/100]})
	}
	return results, nil
}

func (w way) call(client *http.Client, n int) (time.Duration, error) {
	req, err := http.NewRequest(w.method, w.url, strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	if w.keyed {
		req.Header.Set("Idempotency-Key", w.name+time.Now().String())
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return time.Since(start), err
}
