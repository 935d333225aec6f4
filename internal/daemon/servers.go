package daemon

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pearshelf/pearshelf/internal/admin"
	"github.com/pearshelf/pearshelf/internal/api/adminpb"
	"github.com/pearshelf/pearshelf/internal/api/peerpb"
	"github.com/pearshelf/pearshelf/internal/clientlimit"
	"github.com/pearshelf/pearshelf/internal/frontend"
	"github.com/pearshelf/pearshelf/internal/peer"
	"github.com/pearshelf/pearshelf/internal/startup"
)

func (d *Daemon) makeServers() error {
	front := frontend.New(frontend.Config{
		Limiter:               d.limiter,
		Protocol:              d.protocol,
		SeparateReadyListener: d.listeners.ready != nil,
		WhenReady:             d.engine.WhenReady(),
		MaxHeldBytes:          d.settings.MemoryBytes() / startup.MaxHeldShare,
		WhenInformed:          d.informed,
		BodyIdleTimeout:       time.Duration(d.settings.Caller.BodyIdleTimeout),
	}, d.engine.Snapshot, d.dispatcher(), d.metrics)
	service := admin.NewServer(admin.Parts{
		Self:         d.settings.Host,
		Engine:       d.engine,
		Events:       d.events,
		Clients:      d.clients,
		Limits:       d.limiter,
		RateLimits:   d.rateLimits,
		Availability: d.servers,
	})
	if err := d.makeCallerServer(front); err != nil {
		return err
	}
	if err := d.makePeerServer(front, service); err != nil {
		return err
	}
	return d.makeOperatorServer(service)
}

func (d *Daemon) makeCallerServer(front *frontend.Frontend) error {
	conf, err := peer.ServerTLS(d.settings.Caller.TLS)
	if err != nil {
		return err
	}
	d.callerServer = d.server(d.clientLimiter.Requests(front.CallerHandler(), front.NoMemoryHandler()))
	d.callerServer.TLSConfig = conf
	d.callerServer.Protocols.SetHTTP2(true)
	d.callerServer.Protocols.SetUnencryptedHTTP2(true)
	if d.listeners.ready != nil {
		d.readyServer = d.server(d.clientLimiter.Requests(front.ReadyHandler(), front.NoMemoryHandler()))
	}
	return nil
}

// makePeerServer serves forwarded requests from other hosts next to the calls of the
// peer protocol. Forwarded requests are recognised by a header, because they keep the
// paths that the callers chose.
func (d *Daemon) makePeerServer(front *frontend.Frontend, service adminpb.Admin) error {
	conf, err := peer.MutualTLS(d.settings.Peer.TLS)
	if err != nil {
		return err
	}
	router := chi.NewRouter()
	calls := peerpb.NewPeerServer(&peerService{d: d})
	router.Mount(peerpb.PeerPathPrefix, calls)
	router.Mount(adminpb.AdminPathPrefix, adminpb.NewAdminServer(service))
	forwarded := d.clientLimiter.Requests(front.ForwardHandler(), front.NoMemoryHandler())
	other := d.clientLimiter.Calls(router, http.HandlerFunc(refuseCall))
	d.peerServer = d.server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if frontend.IsForwarded(r) {
			forwarded.ServeHTTP(w, r)
			return
		}
		other.ServeHTTP(w, r)
	}))
	d.peerServer.TLSConfig = conf
	return nil
}

func (d *Daemon) makeOperatorServer(service adminpb.Admin) error {
	conf, err := peer.MutualTLS(d.settings.Operator.TLS)
	if err != nil {
		return err
	}
	router := chi.NewRouter()
	router.Mount(adminpb.AdminPathPrefix, adminpb.NewAdminServer(service))
	router.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	d.operatorServer = d.server(d.clientLimiter.Calls(router, http.HandlerFunc(refuseCall)))
	d.operatorServer.TLSConfig = conf
	return nil
}

// server returns a server for HTTP/1.1, within the limits of what clients may take.
func (d *Daemon) server(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:     handler,
		Protocols:   protocols,
		ConnState:   d.clientLimiter.ConnState,
		ConnContext: d.clientLimiter.ConnContext,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          clientlimit.HTTP2Streams,
			MaxReceiveBufferPerConnection: clientlimit.HTTP2WindowBytes,
			MaxReceiveBufferPerStream:     clientlimit.HTTP2WindowBytes,
		},
		ReadHeaderTimeout: time.Duration(d.settings.Caller.ReadHeaderTimeout),
		IdleTimeout:       time.Duration(d.settings.Caller.IdleTimeout),
		MaxHeaderBytes:    d.settings.Caller.MaxHeaderBytes,
	}
}
