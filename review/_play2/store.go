package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one entry of the store, as PROTOCOL.md describes it.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	Created   uint64 `json:",omitempty"`
	Lease     uint64
	Tombstone bool `json:",omitempty"`
}

// store is a stand-in for the platform's store. Its reads are linearizable, and its history is complete.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	server   *http.Server
	address  string
}

func newStore() *store {
	s := &store{items: make(map[string]item), changed: make(chan struct{}), revision: 10}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	l := listen()
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// put writes a key. Its return is the store's acknowledgement.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: raw, Revision: s.revision, Created: s.revision}
	if held, ok := s.items[key]; ok {
		it.Created = held.Created
	}
	s.items[key] = it
	s.record(it)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		http.Error(w, "{}", http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf uint64
	}{it, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, query.Get("Prefix")) && key > query.Get("after") {
			found = append(found, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > 500
	if more {
		found = found[:500]
	}
	reply(w, map[string]any{"items": found, "MorePages": more, "AsOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("Prefix")) {
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
	raw, err := json.Marshal(body)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(raw)
}
