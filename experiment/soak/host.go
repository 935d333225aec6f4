package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/standin/fleet"
	"github.com/pearshelf/pearshelf/standin/link"
)

const (
	readyPath    = "/.well-known/pearshelf/ready"
	readyTimeout = time.Second
	// stopGrace and killAfter are the settings of a planned stop; killAfter is when a host
	// that was asked to stop is killed.
	stopGrace = 300 * time.Millisecond
	killAfter = 6 * time.Second
)

// host is one daemon, over its restarts.
type host struct {
	name       string
	daemon     string
	settings   string // path
	log        *os.File
	address    string // callers', through callerLink
	callerLink *link.Link
	peerLink   *link.Link
	serverSide netip.Addr // that it connects to servers from
	health     *http.Client
	restarting atomic.Bool

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	life    int // counts starts
	// troubles are the times in which the host was disturbed.
	troubles []trouble
}

// trouble is a disturbance of one host.
type trouble struct {
	kind     string
	from, to time.Time
}

func (s *soak) startHosts() error {
	var seeds []string
	for i := range s.conf.Hosts {
		h, peer, err := s.newHost(i, seeds)
		if err != nil {
			return err
		}
		seeds = append(seeds, peer)
		s.hosts = append(s.hosts, h)
	}
	list := &config.HostList{}
	for i, h := range s.hosts {
		list.Hosts = append(list.Hosts, config.ListedHost{Name: h.name, Address: seeds[i], DataCentre: dataCentre(i)})
	}
	if err := s.platform.PutHosts(list); err != nil {
		return err
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func dataCentre(i int) string { return fmt.Sprint("dc", i%dataCentres+1) }

// newHost prepares a host that is not started yet, and returns its peers' address.
func (s *soak) newHost(i int, seeds []string) (*host, string, error) {
	addresses, err := s.ports.take(portsPerHost)
	if err != nil {
		return nil, "", err
	}
	h := &host{
		name:   fleet.HostName(i),
		daemon: s.conf.Daemon,

		serverSide: serverSide(i),
		settings:   filepath.Join(s.conf.Dir, fleet.HostName(i)+".yaml"),
		health:     &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if h.callerLink, err = linkTo(addresses[0]); err != nil {
		return nil, "", err
	}
	if h.peerLink, err = linkTo(addresses[1]); err != nil {
		return nil, "", err
	}
	h.address = h.callerLink.Address()
	if h.log, err = os.Create(filepath.Join(s.conf.Dir, h.name+".log")); err != nil {
		return nil, "", err
	}
	conf := &settings.Settings{
		Host:       h.name,
		DataCentre: dataCentre(i),
		Caller:     settings.Caller{Listen: addresses[0]},
		Peer:       settings.Peer{Listen: addresses[1], Advertise: h.peerLink.Address(), Seeds: seeds, Insecure: true},
		Operator:   settings.Operator{Listen: addresses[2], Insecure: true},
		Platform:   settings.Platform{Address: "http://" + s.platformLink.Address()},
		Timing: settings.Timing{
			StopGrace: config.Duration(stopGrace),
			KillAfter: config.Duration(killAfter),
		},
		Backend: settings.Backend{BufferBytes: 64 << 10, LocalAddress: h.serverSide.String()},
	}
	conf.SetDefaults()
	forwarding := !s.direct
	conf.Forwarding = &forwarding
	raw, err := yaml.Marshal(conf)
	if err != nil {
		return nil, "", err
	}
	return h, h.peerLink.Address(), os.WriteFile(h.settings, raw, 0o600)
}

// start runs the daemon's process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	command := exec.Command(h.daemon, "--settings", h.settings)
	command.Stdout = h.log
	command.Stderr = h.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // how a process ends shows in its log
		close(exited)
	}()
	h.command, h.exited = command, exited
	h.life++
	return nil
}

// signal sends a signal to the host's process, if it runs.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
	default:
		_ = h.command.Process.Signal(sig) // it may just have ended
	}
}

// restart ends the process by a signal and starts another one.
func (h *host) restart(ctx context.Context, sig syscall.Signal, down time.Duration) {
	h.signal(sig)
	h.awaitExit(killAfter)
	pause(ctx, down)
	if err := h.start(); err != nil {
		fmt.Fprintln(h.log, "soak: not started again:", err)
	}
}

func (h *host) awaitExit(limit time.Duration) {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-exited:
	case <-timer.C:
		h.signal(syscall.SIGKILL)
		<-exited
	}
}

// ready asks as the balancer does.
func (h *host) ready() bool {
	resp, err := h.health.Get("http://" + h.address + readyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lifeNumber is the number of the process that runs now.
func (h *host) lifeNumber() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

// disturb notes a disturbance and returns how to note its end.
func (h *host) disturb(kind string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.troubles = append(h.troubles, trouble{kind: kind, from: time.Now()})
	i := len(h.troubles) - 1
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.troubles[i].to = time.Now()
	}
}

// disturbedBy returns the kinds of disturbances within a span.
func (h *host) disturbedBy(from, to time.Time) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	kinds := make(map[string]bool)
	for _, t := range h.troubles {
		if t.from.Before(to) && (t.to.IsZero() || t.to.After(from)) {
			kinds[t.kind] = true
		}
	}
	return kinds
}

func (h *host) close() {
	if h.command != nil {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	h.callerLink.Close()
	h.peerLink.Close()
	h.log.Close()
}

// claimRestart reports whether the host may be restarted now; endRestart must
// follow. Restarts of one host come one after another.
func (h *host) claimRestart() bool { return h.restarting.CompareAndSwap(false, true) }

func (h *host) endRestart() { h.restarting.Store(false) }
