package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one entry of the store, or an event of its history. Nothing is removed in these cases.
type item struct {
	Key      string
	Value    []byte // encoded as base64
	Revision uint64
	Created  uint64
	Lease    uint64
}

// store is a stand-in for the platform's metadata store. It is sound: it is never slow or down and keeps
// its whole history.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an entry. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: raw, Revision: s.revision, Created: created}
	s.items[key] = it
	s.record(it)
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		http.Error(w, "{}", http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf uint64
	}{it, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("Prefix")) {
			found = append(found, it)
		}
	}
	reply(w, map[string]any{"items": found, "MorePages": false, "AsOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history[min(after, uint64(len(s.history))):] { // each change has one revision
			if strings.HasPrefix(it.Key, query.Get("Prefix")) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, map[string]any{"events": events, "AsOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a reader that is gone asks again
}

// route is a route of the operator's configuration.
type route struct {
	prefix, kind, service string
	timeoutS, sloS        float64
	attempts, priority    int
}

// configuration returns the operator's document with one host name.
func configuration(version int, host string, services []string, routes []route) any {
	var policy, clusters []any
	for _, r := range routes {
		policy = append(policy, map[string]any{
			"Name": "r-" + strings.Trim(r.prefix, "/"), "Kind": r.kind, "SloS": r.sloS, "Priority": r.priority,
			"Match":  map[string]any{"Prefix": r.prefix},
			"Action": map[string]any{"Service": r.service, "TimeoutS": r.timeoutS, "Attempts": r.attempts},
		})
	}
	for _, name := range services {
		clusters = append(clusters, map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 360, "Protocol": "h1", "Tls": false})
	}
	return map[string]any{
		"Version":   fmt.Sprintf("%08x", version),
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Listeners": []any{map[string]any{"Host": host, "Policy": policy}},
		"Clusters":  clusters,
	}
}
