// Package fleet starts a whole deployment in one process for tests and the
// load tool: a platform, backend servers and real daemons, all on loopback.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/daemon"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/link"
	"github.com/pearshelf/pearshelf/standin/platform"
)

// Shard is the one shard of a stand-in deployment.
const Shard = "main"

const (
	anyPort   = "127.0.0.1:0"
	pollEvery = 5 * time.Millisecond

	// readyLimit bounds the start of a fleet.
	readyLimit = time.Minute
)

// Config of a Fleet.
type Config struct {
	// Hosts is the number of daemons, spread over DataCentres in turn.
	Hosts       int
	DataCentres []string
	// Services are started with a stand-in per backend server; addresses are
	// filled in.
	Services []config.Service
	// Backend is the pattern of each backend server stand-in.
	Backend func(service string, b config.Backend) backend.Config
	// Settings may change a host's settings before it starts.
	Settings func(i int, s *settings.Settings)
	// Hooks of each host.
	Hooks func(i int) daemon.Hooks
	// Links puts a relay in front of each host's peer listener.
	Links bool
}

// Fleet is a running deployment.
type Fleet struct {
	conf     Config
	Platform *platform.Platform
	Hosts    []*daemon.Daemon
	Links    []*link.Link
	// Backends by service and ID.
	Backends map[string]map[string]*backend.Server
	Document config.Document
	seeds    []string
	hostList config.HostList
}

// HostName returns the name of the i-th host.
func HostName(i int) string { return fmt.Sprintf("h%d", i+1) }

// Start starts everything, or nothing if it returns an error.
func Start(conf Config) (*Fleet, error) {
	f := &Fleet{conf: conf, Backends: make(map[string]map[string]*backend.Server)}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// StartReady starts everything and waits until all hosts are ready.
func StartReady(ctx context.Context, conf Config) (*Fleet, error) {
	f, err := Start(conf)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.Platform, err = platform.Start(); err != nil {
		return err
	}
	if err := f.startBackends(); err != nil {
		return err
	}
	if _, err := f.Publish(); err != nil {
		return err
	}
	for i := range f.conf.Hosts {
		if err := f.startHost(i); err != nil {
			return err
		}
	}
	return f.Platform.PutHosts(&f.hostList)
}

func (f *Fleet) startBackends() error {
	f.Document = config.Document{Services: f.conf.Services}
	for i := range f.Document.Services {
		svc := &f.Document.Services[i]
		f.Backends[svc.Name] = make(map[string]*backend.Server)
		for j := range svc.Backends {
			b := &svc.Backends[j]
			server, err := backend.Start(f.conf.Backend(svc.Name, *b))
			if err != nil {
				return err
			}
			b.Address = server.Address()
			f.Backends[svc.Name][b.ID] = server
		}
	}
	return nil
}

// Publish puts the present Document on the platform.
func (f *Fleet) Publish() (uint64, error) { return f.Platform.PutShard(Shard, &f.Document) }

// Settings returns the settings of the i-th host.
func (f *Fleet) Settings(i int) *settings.Settings {
	s := &settings.Settings{
		Host:       HostName(i),
		DataCentre: f.conf.DataCentres[i%len(f.conf.DataCentres)],
		Caller:     settings.Caller{Listen: anyPort},
		Peer:       settings.Peer{Listen: anyPort, Seeds: f.seeds, Insecure: true},
		Operator:   settings.Operator{Listen: anyPort, Insecure: true},
		Platform:   settings.Platform{Address: f.Platform.URL()},
	}
	s.SetDefaults()
	if f.conf.Settings != nil {
		f.conf.Settings(i, s)
	}
	return s
}

func (f *Fleet) startHost(i int) error {
	s := f.Settings(i)
	var l *link.Link
	if f.conf.Links {
		var err error
		if l, err = link.New(); err != nil {
			return err
		}
		s.Peer.Advertise = l.Address()
	}
	d, err := f.run(i, s)
	if err != nil {
		return err
	}
	if l != nil {
		l.Connect(d.PeerAddress())
	}
	f.Hosts = append(f.Hosts, d)
	f.Links = append(f.Links, l)
	address := d.PeerAddress()
	if l != nil {
		address = l.Address()
	}
	f.seeds = append(f.seeds, address)
	f.hostList.Hosts = append(f.hostList.Hosts, config.ListedHost{Name: s.Host, Address: address, DataCentre: s.DataCentre})
	return nil
}

func (f *Fleet) run(i int, s *settings.Settings) (*daemon.Daemon, error) {
	var hooks daemon.Hooks
	if f.conf.Hooks != nil {
		hooks = f.conf.Hooks(i)
	}
	d, err := daemon.New(s, hooks)
	if err != nil {
		return nil, err
	}
	return d, d.Start()
}

// Restart kills the i-th host and starts it anew on the same addresses.
func (f *Fleet) Restart(i int) error {
	old := f.Hosts[i]
	old.Kill()
	return f.StartAgain(i)
}

// StartAgain starts a killed or stopped host anew on the same addresses.
func (f *Fleet) StartAgain(i int) error {
	old := f.Hosts[i]
	s := f.Settings(i)
	s.Caller.Listen = old.CallerAddress()
	s.Peer.Listen = old.PeerAddress()
	s.Operator.Listen = old.OperatorAddress()
	s.Peer.Advertise = f.hostList.Hosts[i].Address
	d, err := f.run(i, s)
	if err != nil {
		return err
	}
	f.Hosts[i] = d
	return nil
}

// WaitReady waits until every host is ready and sees all others.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return Until(ctx, "all hosts ready", func() bool {
		for _, d := range f.Hosts {
			if !d.Ready() || len(d.Snapshot().ClaimCandidates) < len(f.Hosts) || Live(d) < len(f.Hosts) {
				return false
			}
		}
		return true
	})
}

// Until polls a condition until it holds or ctx ends.
func Until(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.New("gave up waiting for: " + what)
		case <-ticker.C:
		}
	}
	return nil
}

// Close ends everything.
func (f *Fleet) Close() {
	for _, d := range f.Hosts {
		d.Kill()
	}
	for _, l := range f.Links {
		if l != nil {
			l.Close()
		}
	}
	for _, servers := range f.Backends {
		for _, s := range servers {
			s.Close()
		}
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
}
