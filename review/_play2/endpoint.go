package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two check-ins of an endpoint.
const heartbeat = 1500 * time.Millisecond

// endpoint is a stand-in for one endpoint of a service.
type endpoint struct {
	id, service, zone string
	slots             int
	store             *store
	// arrived, if set, is called when a request arrives, before it waits for a slot.
	arrived func(r *http.Request)
	// work does what a request asks for and returns the answer.
	work func(r *http.Request) answer

	listener net.Listener
	server   *http.Server
	state    atomic.Value // string
	seq      atomic.Int64
	running  atomic.Int64
	slot     chan struct{}
	stop     chan struct{}
	once     sync.Once
}

type answer struct {
	status int
	body   string
}

func startEndpoint(s *store, service, id, zone string, slots int, work func(*http.Request) answer) *endpoint {
	e := &endpoint{id: id, service: service, zone: zone, slots: slots, store: s, work: work, listener: listen(), slot: make(chan struct{}, slots), stop: make(chan struct{})}
	e.state.Store("ready")
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 10 * time.Second}
	go e.server.Serve(e.listener)
	e.checkIn()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				e.checkIn()
			case <-e.stop:
				return
			}
		}
	}()
	return e
}

func (e *endpoint) checkIn() {
	e.store.put("servers/"+e.id, map[string]any{
		"Service": e.service, "Addr": e.listener.Addr().String(), "Zone": e.zone, "Version": "v1",
		"Slots": e.slots, "State": e.state.Load(), "WarmupLeftS": 0, "Seq": e.seq.Add(1),
	})
}

func (e *endpoint) close() {
	e.once.Do(func() {
		close(e.stop)
		e.server.Close()
	})
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", e.id)
		io.WriteString(w, "well")
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.arrived != nil {
		e.arrived(r)
	}
	io.Copy(io.Discard, r.Body)
	select {
	case e.slot <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slot }()
	note("run %s by %s of %s", id, e.id, e.service)
	ran(id, e.id)
	e.running.Add(1)
	a := e.work(r)
	running := e.running.Add(-1)
	if a.status == 0 {
		return
	}
	w.Header().Set("X-Upstream-Signature", "sig."+id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, e.slots))
	w.WriteHeader(a.status)
	io.WriteString(w, a.body)
}
