package main

import (
	"fmt"
	"slices"
	"time"
)

// lateAnswers plays servers that send some answers a second time, late: at the point where the next answer on
// the connection is expected. The rule: a request that is not idempotent runs once at most.
func lateAnswers(p *play) (verdict, error) {
	const (
		servers = 10
		slots   = 4
		queue   = 2
		work    = 50 * time.Millisecond
		rate    = 560.0 // a second; the servers can do 800
		clump   = 14
		length  = 30 * time.Second
	)
	w, err := newWorld(p, []string{"bidpost"}, []route{
		{prefix: "/submit/", kind: "unsafe", service: "bidpost", timeoutS: 2.5, sloS: 1.5, attempts: 2, priority: 1},
	})
	if err != nil {
		return verdict{}, err
	}
	for i := range servers {
		conf := serverConfig{service: "bidpost", slots: slots, queue: queue, work: work}
		if float64(i) < garbleShare*servers {
			conf.duplicates = chance(p.seed*100+uint64(i), garbleOf, w.disturbed)
		}
		if err := w.addServer(conf); err != nil {
			return verdict{}, err
		}
	}
	defer w.stop()
	if err := w.startHosts(); err != nil {
		return verdict{}, err
	}
	load(p.journal, w.fleet, rate, clump, length, p.seed, func(n int) request {
		return request{id: fmt.Sprintf("9c41d07b%08x", n), kind: "unsafe", method: "POST", host: hostName, path: fmt.Sprintf("/submit/%x", n), deadline: 5 * time.Second, body: fmt.Sprintf("bid %d", n)}
	})
	time.Sleep(time.Second) // what is at work ends
	return judgeOnce(p.journal), nil
}

// judgeOnce checks TWICE, and counts what breaks REFUSED.
func judgeOnce(j *journal) verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	var twice, refused []string
	statuses := make(map[int]int)
	for id := range j.sent {
		status := j.got[id]
		statuses[status]++
		if len(j.runs[id]) > 1 {
			twice = append(twice, id)
		}
		if promise := status == 429 || status == 503 || status == 408 || status == 421; promise && len(j.runs[id]) > 0 {
			refused = append(refused, id)
		}
	}
	slices.Sort(twice)
	slices.Sort(refused)
	return verdict{
		isBad:  len(twice) > 0,
		broken: append(slices.Clone(twice), refused...),
		lines: []string{
			fmt.Sprintf("%d requests that are not idempotent; answers by status, 0 for none: %v", len(j.sent), statuses),
			fmt.Sprintf("TWICE: %d ran more than once: %v", len(twice), twice),
			fmt.Sprintf("REFUSED: %d were answered 429, 503, 408 or 421 and had run: %v", len(refused), refused),
		},
	}
}
