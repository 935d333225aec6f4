package main

import (
	"bufio"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// removed: at high load, requests with much time wait for a free slot of their service. Then a
// configuration removes the service together with its routes.
func removed() {
	const timeout = 12 * time.Second // of the route /plan/
	const warm, wait = 12 * time.Second, 20 * time.Second
	s := newStore()
	slots := route("r-slots", "safe", "/slots/", "slots", 4, 2)
	plan := route("r-plan", "safe", "/plan/", "plans", timeout.Seconds(), 2)
	plan["SloS"] = 8
	deposit := route("r-deposit", "unsafe", "/deposit/", "plans", 4, 2)
	s.put("op/config", configuration("clinic.example", 7, []string{"slots", "plans"}, slots, plan, deposit))
	zones := []string{"addis-a", "addis-b"}
	work := func(r *http.Request) (time.Duration, bool) {
		if r.Method == "POST" {
			return 400 * time.Millisecond, false
		}
		return 1200 * time.Millisecond, false
	}
	for i, zone := range zones {
		for j := range 2 {
			startEndpoint(s, "plans", fmt.Sprintf("i-plans%d%d", i, j), zone, 2, work)
			startEndpoint(s, "slots", fmt.Sprintf("i-slots%d%d", i, j), zone, 2, work)
		}
	}
	startHosts(dir, s, 2, zones)
	awaitReady()
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var requesters sync.WaitGroup
	sent, answered, overdue, unanswered := 0, 0, 0, 0
	send := func(n int, method, target, id string, timeout time.Duration) {
		requesters.Add(1)
		go func() {
			defer requesters.Done()
			c := dial(hosts[n%len(hosts)].front)
			if c == nil {
				return
			}
			defer c.Close()
			r := ask(c, bufio.NewReader(c), method, target, "clinic.example", id, "", wait)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if r.status != 0 {
				answered++
			}
			if r.status == 0 || r.took > timeout {
				overdue++
			}
			if r.status == 0 || r.took > timeout+500*time.Millisecond {
				unanswered++
			}
		}()
	}
	begin := time.Now()
	for n := 0; time.Since(begin) < warm; n++ {
		send(n, "GET", fmt.Sprintf("/plan/%d", n), fmt.Sprintf("aaaa%012d", n), timeout)
		time.Sleep(55 * time.Millisecond)
		send(n, "POST", fmt.Sprintf("/deposit/%d", n), fmt.Sprintf("bbbb%012d", n), 4*time.Second)
		time.Sleep(55 * time.Millisecond)
	}
	if trouble() {
		s.put("op/config", configuration("clinic.example", 12, []string{"slots"}, slots))
		note("version 0000000c acknowledged: the service plans and its routes are removed")
	}
	requesters.Wait()
	cores := idleCores(5 * time.Second)
	verdict(unanswered >= 8 && unanswered*2 > overdue, "CONFIG: of %d requests, %d were answered; %d were unanswered at their route's TimeoutS, and %d of them had no answer half a second later; cores used after all requesters had left:%s", sent, answered, overdue, unanswered, cores)
}

// idleCores returns the processor time that each host uses while no requester is there.
func idleCores(span time.Duration) string {
	before := make([]float64, len(hosts))
	for i, h := range hosts {
		before[i] = h.cpuSeconds()
	}
	time.Sleep(span)
	text := ""
	for i, h := range hosts {
		text += fmt.Sprintf(" %s %.2f", h.name, (h.cpuSeconds()-before[i])/span.Seconds())
	}
	return text
}
