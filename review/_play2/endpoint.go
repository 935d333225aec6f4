package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
	// work returns how long a request takes, or that the endpoint fails it.
	work workFunc

	listener net.Listener
	server   *http.Server
	state    atomic.Value // string
	seq      atomic.Int64
	running  atomic.Int64
	waiting  atomic.Int64
	slot     chan struct{}
	stop     chan struct{}
	once     sync.Once
}

type workFunc func(r *http.Request) (work time.Duration, fails bool)

type answer struct {
	status int
	body   string
}

func startEndpoint(s *store, service, id, zone string, slots int, work workFunc) *endpoint {
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

// queueLength is the number of requests that an endpoint queues beyond its slots.
const queueLength = 16

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	leaving := e.state.Load() == "draining"
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", e.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
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
		reject(w, http.StatusBadRequest)
		return
	}
	if e.arrived != nil {
		e.arrived(r)
	}
	io.Copy(io.Discard, r.Body)
	left := 24 * time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	if e.waiting.Add(1) > queueLength+int64(e.slots)-e.running.Load() {
		e.waiting.Add(-1)
		e.tellLoad(w)
		reject(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slot <- struct{}{}:
		e.waiting.Add(-1)
	case <-deadline.C:
		e.waiting.Add(-1)
		e.tellLoad(w)
		reject(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		e.waiting.Add(-1)
		return
	}
	e.running.Add(1)
	defer func() {
		e.running.Add(-1)
		<-e.slot
	}()
	note("run %s by %s of %s", id, e.id, e.service)
	ran(id, e.id)
	work, fails := e.work(r)
	if fails {
		<-r.Context().Done() // a failing endpoint leaves the request without an answer
		return
	}
	a := answer{http.StatusOK, "an answer of " + e.service}
	done := time.NewTimer(work)
	defer done.Stop()
	select {
	case <-done.C:
	case <-deadline.C:
		a = answer{http.StatusGatewayTimeout, "the deadline has passed"}
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Upstream-Signature", "sig."+id)
	e.tellLoad(w)
	w.WriteHeader(a.status)
	io.WriteString(w, a.body)
}

// tellLoad adds the numbers of running and of waiting requests and of slots.
func (e *endpoint) tellLoad(w http.ResponseWriter) {
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", e.running.Load(), e.waiting.Load(), e.slots))
}

// reject states that the request was not run.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}
