package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	hostName = "bids.example"
	// readyLimit is how long hosts may take to become ready; lead is how long they run before the traffic starts.
	readyLimit = 20 * time.Second
	lead       = 8 * time.Second
)

var zones = []string{"hcm-a", "hcm-b", "hcm-c"}

// world is a small deployment: the store, backend servers, and three hosts in each data centre.
type world struct {
	play    *play
	store   *store
	fleet   *fleet
	servers int
	// serviceOf is the service of each server, by ID.
	serviceOf map[string]string
	began     time.Time // of the traffic
}

func newWorld(p *play, services []string, routes []route) (*world, error) {
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	st.put("op/config", configuration(7, hostName, services, routes))
	return &world{play: p, store: st, serviceOf: make(map[string]string)}, nil
}

// addServer starts a backend server and registers it. It sets the server's ID and data centre.
func (w *world) addServer(conf serverConfig) error {
	conf.id, conf.zone = fmt.Sprintf("i-%08x", 0x51a70000+w.servers), zones[w.servers%len(zones)]
	w.servers++
	w.serviceOf[conf.id] = conf.service
	s, err := startServer(conf, w.play.journal)
	if err == nil {
		s.register(w.store)
	}
	return err
}

// startHosts starts the hosts and returns when the traffic may start.
func (w *world) startHosts() (err error) {
	if w.fleet, err = startFleet(w.play, w.store.address(), slices.Repeat(zones, 3)); err != nil {
		return err
	}
	if err := w.fleet.awaitReady(readyLimit); err != nil {
		return err
	}
	time.Sleep(lead)
	w.began = time.Now()
	return nil
}

// stop ends the hosts.
func (w *world) stop() {
	if w.fleet != nil {
		w.fleet.stop()
	}
}

// Doses of the disturbance "garble" in the days of hs-bidgate.
const (
	garbleShare  = 0.6             // of the servers of the service
	garbleOf     = 0.03            // of the answers of such a server
	garbleLength = 5 * time.Second // of one disturbance
)

// disturbed reports whether a disturbance takes place now: four times during the traffic.
func (w *world) disturbed() bool {
	if !w.play.trouble || w.began.IsZero() {
		return false
	}
	since := time.Since(w.began)
	for _, at := range []time.Duration{2 * time.Second, 9 * time.Second, 16 * time.Second, 23 * time.Second} {
		if since >= at && since < at+garbleLength {
			return true
		}
	}
	return false
}
