// Package platform is a stand-in for the platform's configuration service: a
// read-and-watch key store over HTTP whose failures can be planted.
package platform

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/world"
)

const keysPath = "/v1/keys/"

type value struct {
	revision uint64
	raw      []byte
}

// Platform is a running stand-in.
type Platform struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision uint64
	values   map[string]value
	copy     map[string]value
	changed  chan struct{}
	down     bool
	calls    uint64
	waiting  int
}

// Start runs a stand-in on loopback.
func Start() (*Platform, error) {
	return Listen("127.0.0.1:0")
}

// Listen runs a stand-in on an address.
func Listen(address string) (*Platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Platform{listener: listener, values: make(map[string]value), changed: make(chan struct{})}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func() { _ = p.server.Serve(listener) }() // ends with Close
	return p, nil
}

// Address is IP:port.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// URL is the base URL.
func (p *Platform) URL() string { return "http://" + p.Address() }

// Close stops the stand-in.
func (p *Platform) Close() { _ = p.server.Close() }

// Put publishes a raw value and returns its revision.
func (p *Platform) Put(key string, raw []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.put(key, raw)
}

func (p *Platform) put(key string, raw []byte) uint64 {
	p.revision++
	p.values[key] = value{revision: p.revision, raw: raw}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// PutShard publishes a shard and the index that names its revision.
func (p *Platform) PutShard(shard string, doc *config.Document) (uint64, error) {
	raw, err := yaml.Marshal(doc)
	if err != nil {
		return 0, err
	}
	return p.PutRawShard(shard, raw)
}

// PutRawShard publishes a shard's text, good or bad, and the index.
func (p *Platform) PutRawShard(shard string, raw []byte) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.put(world.KeyShardPrefix+shard, raw)
	index := config.Index{Shards: make(map[string]uint64)}
	for key, v := range p.values {
		name, isShard := strings.CutPrefix(key, world.KeyShardPrefix)
		if isShard && key != world.KeyIndex {
			index.Shards[name] = v.revision
		}
	}
	rawIndex, err := yaml.Marshal(index)
	if err != nil {
		return 0, err
	}
	p.put(world.KeyIndex, rawIndex)
	return revision, nil
}

// PutHosts publishes the host list.
func (p *Platform) PutHosts(list *config.HostList) error {
	raw, err := yaml.Marshal(list)
	if err != nil {
		return err
	}
	p.Put(world.KeyHosts, raw)
	return nil
}

// SetDown makes every call fail with 503 until set back.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// Snapshot keeps a copy of all values for Rollback.
func (p *Platform) Snapshot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copy = maps.Clone(p.values)
}

// Rollback serves the values of the last Snapshot from now on, as a stale
// replica of the platform would.
func (p *Platform) Rollback() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values = p.copy
}

// Calls returns the number of calls so far, a waiting watch counted as one.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Waiting returns the number of watches that wait for a change now.
func (p *Platform) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting
}

func (p *Platform) read(key string) (v value, ok bool, changed <-chan struct{}, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok = p.values[key]
	return v, ok, p.changed, p.down
}

func (p *Platform) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
}

// wait lets a watch wait for a change; it returns false if the watch has ended before one.
func (p *Platform) wait(w http.ResponseWriter, r *http.Request, changed <-chan struct{}, timeout <-chan time.Time) bool {
	p.addWaiting(1)
	defer p.addWaiting(-1)
	select {
	case <-changed:
		return true
	case <-timeout:
		w.WriteHeader(http.StatusNotModified)
		return false
	case <-r.Context().Done():
		return false
	}
}

func (p *Platform) addWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += n
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	p.count()
	key, ok := strings.CutPrefix(r.URL.Path, keysPath)
	if !ok || r.Method != http.MethodGet {
		http.Error(w, "only GET "+keysPath, http.StatusNotFound)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		v, ok, changed, down := p.read(key)
		switch {
		case down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case ok && v.revision > after:
			w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(v.revision, 10)))
			_, _ = w.Write(v.raw) // the reader asks again
			return
		case !ok && wait == 0:
			http.Error(w, "no such key", http.StatusNotFound)
			return
		}
		if !p.wait(w, r, changed, timer.C) {
			return
		}
	}
}
