package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// largeConfiguration plays a configuration that grows by many routes, up to what the store takes. Then all
// processes are killed and started again. The rules: requests are handled as the newest version says once it has
// been acknowledged for some time (CONFIG), and they are served some time after the hosts are back (RECOVER).
func largeConfiguration(p *play) (verdict, error) {
	const (
		step         = 350     // routes, the dose of "big_config" in the days of swanreach-tix
		steps        = 20      // one a second
		valueBytes   = 1 << 20 // limit of the store
		configS      = 2 * time.Second
		recoverS     = 15 * time.Second
		down         = 1200 * time.Millisecond
		rate         = 20.0 // requests a second
		phaseLength  = 5 * time.Second
		quarterOfAll = 4
	)
	services := []string{"seatmap", "checkout"}
	read := func(prefix, service string) route {
		return route{prefix: prefix, kind: "safe", service: service, timeoutS: 1, sloS: 1, attempts: 2}
	}
	routes := []route{read("/seats/", "seatmap"), read("/moved/", "seatmap")}
	w, err := newWorld(p, services, routes)
	if err != nil {
		return verdict{}, err
	}
	for i := range 6 {
		if err := w.addServer(serverConfig{service: services[i%2], slots: 3, queue: 16, work: 20 * time.Millisecond}); err != nil {
			return verdict{}, err
		}
	}
	defer w.stop()
	if err := w.startHosts(); err != nil {
		return verdict{}, err
	}
	if p.trouble {
		for n := range steps - 1 {
			for i := range step {
				routes = append(routes, read(fmt.Sprintf("/r%07x/", n*step+i), "seatmap"))
			}
			w.publish(8+n, services, routes, valueBytes)
			time.Sleep(time.Second)
		}
		for i := range step - 1 {
			routes = append(routes, read(fmt.Sprintf("/r%07x/", (steps-1)*step+i), "seatmap"))
		}
	}
	routes = append(routes, read("/new/", "seatmap"))
	routes[1].service = "checkout" // moved
	size := w.publish(100, services, routes, valueBytes)
	if size > valueBytes {
		return verdict{}, fmt.Errorf("the configuration has %d bytes, which the store does not take", size)
	}
	time.Sleep(configS + time.Second)

	phase := func(name string) {
		paths := []string{"/seats/", "/moved/", "/new/"}
		load(p.journal, w.fleet, rate, 1, phaseLength, p.seed, func(n int) request {
			path := paths[n%len(paths)]
			return request{id: fmt.Sprintf("%s-%s-%04x", name, strings.Trim(path, "/"), n), kind: "safe", method: "GET", host: hostName, path: path + "1", deadline: 5 * time.Second}
		})
	}
	phase("before")
	p.journal.add("all processes of the hosts are killed, and started again after %s", down)
	if err := w.fleet.restart(down); err != nil {
		return verdict{}, err
	}
	time.Sleep(recoverS)
	phase("after")
	return judgeConfiguration(p.journal, w, size, quarterOfAll), nil
}

// publish writes a configuration to the store and returns its size. The store's answer is the acknowledgement.
func (w *world) publish(version int, services []string, routes []route, limit int) int {
	conf := configuration(version, hostName, services, routes)
	size := len(asJSON(conf))
	if size <= limit {
		w.store.put("op/config", conf)
		w.play.journal.add("store  acknowledges version %d of the configuration: %d routes, %d bytes", version, len(routes), size)
	}
	return size
}

// judgeConfiguration checks CONFIG on the requests before the fault and RECOVER on those after it.
func judgeConfiguration(j *journal, w *world, size, quarterOfAll int) verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	var old []string
	asked, served := make(map[string]int), make(map[string]int)
	for id := range j.sent {
		phase, rest, _ := strings.Cut(id, "-")
		asked[phase]++
		if j.got[id] == 200 {
			served[phase]++
		}
		if phase != "before" {
			continue
		}
		isOld := strings.HasPrefix(rest, "new") && j.got[id] == 404
		for _, server := range j.runs[id] {
			isOld = isOld || strings.HasPrefix(rest, "moved") && w.serviceOf[server] == "seatmap"
		}
		if isOld {
			old = append(old, id)
		}
	}
	slices.Sort(old)
	isLost := quarterOfAll*served["before"] >= asked["before"] && quarterOfAll*served["after"] < asked["after"]
	return verdict{
		isBad:  len(old) > 0 || isLost,
		broken: old,
		lines: []string{
			fmt.Sprintf("the newest configuration has %d bytes in the store, which takes 1048576", size),
			fmt.Sprintf("CONFIG: %d of %d requests were handled as only an older version allows, later than 2 s after the acknowledgement", len(old), asked["before"]),
			fmt.Sprintf("RECOVER: %d of %d requests were served before the fault, %d of %d later than 15 s after it; broken: %v", served["before"], asked["before"], served["after"], asked["after"], isLost),
		},
	}
}
