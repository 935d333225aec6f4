package peer

import (
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/pearshelf/pearshelf/internal/api/adminpb"
	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

const (
	maxIdleConnsPerHost = 64
	idleTimeout         = 90 * time.Second
)

// Clients creates and caches the clients for calls to other hosts.
type Clients struct {
	scheme string
	http   *http.Client

	mu    sync.Mutex
	peers map[string]peerpb.Peer
	admin map[string]adminpb.Admin
}

// NewClients returns clients that use mutual TLS, or plaintext if conf is nil.
func NewClients(conf *tls.Config) *Clients {
	scheme := "http"
	if conf != nil {
		scheme = "https"
	}
	transport := upstream.NewHTTPTransport(dialer.DialContext, upstream.MaxHeadBytes)
	transport.TLSClientConfig = conf
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	transport.IdleConnTimeout = idleTimeout
	return &Clients{
		scheme: scheme,
		http:   &http.Client{Transport: transport},
		peers:  make(map[string]peerpb.Peer),
		admin:  make(map[string]adminpb.Admin),
	}
}

// Peer returns the client of the peer API at an address.
func (c *Clients) Peer(address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.peers[address]
	if !ok {
		client = peerpb.NewPeerProtobufClient(c.scheme+"://"+address, c.http)
		c.peers[address] = client
	}
	return client
}

// Admin returns the client of the admin API at an address.
func (c *Clients) Admin(address string) adminpb.Admin {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.admin[address]
	if !ok {
		client = adminpb.NewAdminProtobufClient(c.scheme+"://"+address, c.http)
		c.admin[address] = client
	}
	return client
}

// Close closes idle connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }
