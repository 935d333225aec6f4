package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// retired: half of the endpoints of a service are emptied and taken away, and a configuration removes the service
// together with its route. As at any time, some endpoints fail a portion of their requests. Without the
// trouble the configuration stays as it is.
func retired() {
	const drain = 2000 * time.Millisecond
	s := newStore()
	slots := route("r-slots", "safe", "/slots/", "slots", 4, 2)
	roster := route("r-roster", "safe", "/roster/", "roster", 12, 2)
	roster["SloS"] = 8
	s.put("op/config", configuration("clinic.example", 7, []string{"slots", "roster"}, slots, roster))
	zones := []string{"addis-a", "addis-b"}
	var failing atomic.Bool
	var isLeaving atomic.Value // map[string]bool
	var drainedAt atomic.Int64
	var late atomic.Int64
	var endpoints []*endpoint
	for i, zone := range zones {
		for j := range 12 {
			hangs := j < 3 // six of twenty-four
			id := fmt.Sprintf("i-roster%d%d", i, j)
			e := startEndpoint(s, "roster", id, zone, 4, func(*http.Request) (time.Duration, bool) {
				return time.Duration(1400+rand.IntN(1600)) * time.Millisecond, hangs && failing.Load() && rand.IntN(4) > 0
			})
			e.arrived = func(r *http.Request) {
				if at := drainedAt.Load(); at != 0 && isLeaving.Load().(map[string]bool)[id] && time.Since(time.Unix(0, at)) > drain {
					late.Add(1)
					note("LATE %s reaches %s %.3f s after its leaving was acknowledged", r.Header.Get("X-Request-Id"), id, time.Since(time.Unix(0, at)).Seconds())
				}
			}
			endpoints = append(endpoints, e)
			startEndpoint(s, "slots", fmt.Sprintf("i-slots%d%d", i, j), zone, 4, func(*http.Request) (time.Duration, bool) {
				return 500 * time.Millisecond, false
			})
		}
	}
	startHosts(dir, s, 4, zones)
	awaitReady()
	time.Sleep(3 * time.Second)
	var requesters sync.WaitGroup
	begin := time.Now()
	go func() {
		time.Sleep(11300 * time.Millisecond)
		failing.Store(true)
		note("six of twenty-four endpoints begin to fail three in four of their requests, their health path says well")
		time.Sleep(6 * time.Second)
		failing.Store(false)
	}()
	for n := 0; time.Since(begin) < 12500*time.Millisecond; n++ {
		requesters.Add(1)
		go func() {
			defer requesters.Done()
			if c := dial(hosts[n%len(hosts)].front); c != nil {
				defer c.Close()
				ask(c, bufio.NewReader(c), "GET", fmt.Sprintf("/roster/%d", n), "clinic.example", fmt.Sprintf("aaaa%012d", n), "", 15*time.Second)
			}
		}()
		time.Sleep(30 * time.Millisecond)
	}
	if trouble() {
		s.put("op/config", configuration("clinic.example", 12, []string{"slots"}, slots))
	}
	// Twice a quarter of the endpoints are emptied, in both zones alike.
	leaving := map[string]bool{}
	for _, e := range slices.Concat(endpoints[3:9], endpoints[15:21]) {
		e.state.Store("draining")
		e.checkIn()
		leaving[e.id] = true
	}
	isLeaving.Store(leaving)
	drainedAt.Store(time.Now().UnixNano())
	note("the leaving of %v is acknowledged", leaving)
	requesters.Wait()
	verdict(late.Load() > 0, "DRAIN: %d requests reached an endpoint later than DrainS after its leaving was acknowledged", late.Load())
}
