// Package crowd plays many misbehaving clients against one real process of the daemon. It checks what does not
// depend on the machine's speed: the process lives, its memory and its descriptors stay under a bound, and an
// ordinary caller gets its answer. scripts/test.sh runs it apart from other tests.
package crowd

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
	"github.com/pearshelf/pearshelf/standin/platform"
)

const (
	// patience bounds waits whose length proves nothing.
	patience = 30 * time.Second
	// sampleInterval is the time between two samples of what the process holds.
	sampleInterval = 10 * time.Millisecond
	// tcpListen is the state of a listening socket in /proc/net/tcp, whose queue counts connections.
	tcpListen = "0A"
)

const (
	shopPath = "/shop/read"
	// uploadPath and downloadPath lead to servers of their own: uploads and downloads occupy them for as long as they
	// last.
	uploadPath   = "/uploads/new"
	downloadPath = "/download"
	// downloadBytes is more than the kernel holds for a connection.
	downloadBytes = 64 << 20
	// downloadSlots is how many downloads a server sends at a time.
	downloadSlots = 80
)

// listener is one of the addresses on which a host accepts connections.
type listener struct {
	name string
	port int
	path string // of a request that the listener serves
}

var (
	callers   = listener{"callers", 8080, shopPath}
	readiness = listener{"readiness checks", 8081, "/.well-known/pearshelf/ready"}
	peers     = listener{"other hosts", 7946, "/twirp/pearshelf.peer.Peer/Sync"}
	operators = listener{"operators", 7080, "/metrics"}
	listeners = []listener{callers, readiness, peers, operators}
)

// scale is the size of a play.
type scale struct {
	// memoryMB is the memory of the host's machine, which the peak of the process must not exceed.
	memoryMB int
	// descriptorLimit is the limit of the process. maxDescriptors of them may be in use: what is left is for
	// connections to servers, to other hosts and to the platform.
	descriptorLimit, maxDescriptors int
	// clients connect at the same time, silentClients are those that send nothing, streamClients those that open an
	// HTTP/2 connection each.
	clients, silentClients, streamClients int
}

var (
	// smallScale shows each fault with few clients, fullScale has the limits of a machine in use.
	smallScale = scale{memoryMB: 96, descriptorLimit: 400, maxDescriptors: 300, clients: 200, silentClients: 600, streamClients: 30}
	fullScale  = scale{memoryMB: 284, descriptorLimit: 4100, maxDescriptors: 3075, clients: 1000, silentClients: 6000, streamClients: 100}

	size = smallScale

	// manyConnsScale has more connections for its memory than a machine in use.
	manyConnsScale = scale{memoryMB: 96, descriptorLimit: 4100, maxDescriptors: 3075, clients: 1500}
)

// host is a running daemon with its own platform and backend servers.
type host struct {
	t       *testing.T
	ip      string
	command *exec.Cmd
	log     string // path
	exited  chan struct{}
	stop    chan struct{}

	mu sync.Mutex
	// descriptors and held are the most that were seen: descriptors, and the resident set together with the bytes that
	// the kernel held for the process's connections.
	descriptors, held int
}

// download is what servers send for downloadPath.
var download = make([]byte, downloadBytes)

var daemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "pearshelfd")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/pearshelfd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return program, nil
})

func TestMain(m *testing.M) {
	full := flag.Bool("full", false, "play with the limits of a machine in use")
	flag.Parse()
	if *full {
		size = fullScale
	}
	code := m.Run()
	if program, err := daemon(); err == nil {
		os.RemoveAll(filepath.Dir(program))
	}
	os.Exit(code)
}

// started counts the hosts, each of which has an IP address of its own.
var started int

func startHost(t *testing.T) *host {
	t.Helper()
	program, err := daemon()
	if err != nil {
		t.Fatal(err)
	}
	started++
	h := &host{
		t:      t,
		ip:     fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%200, started),
		log:    filepath.Join(t.TempDir(), "log"),
		exited: make(chan struct{}),
		stop:   make(chan struct{}),
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	raw, err := yaml.Marshal(h.settings(h.startPlatform()))
	if err == nil {
		err = os.WriteFile(path, raw, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	h.start(program, path)
	h.awaitServed()
	go h.sample()
	return h
}

func (h *host) address(l listener) string { return fmt.Sprintf("%s:%d", h.ip, l.port) }

// settings are those of examples/ with less memory, and with bodies that may stand still for longer than any play.
func (h *host) settings(platformURL string) map[string]any {
	return map[string]any{
		"host":        "h1",
		"data_centre": "dc1",
		"memory_mb":   size.memoryMB,
		"caller":      map[string]any{"listen": h.address(callers), "ready_listen": h.address(readiness), "body_idle_timeout": "1h"},
		"peer":        map[string]any{"listen": h.address(peers), "insecure": true},
		"operator":    map[string]any{"listen": h.address(operators), "insecure": true},
		"platform":    map[string]any{"address": platformURL},
		"timing":      map[string]any{"stop_grace": "100ms", "stop_timeout": "2s"},
	}
}

// startPlatform starts the platform and the backend servers, and returns the platform's URL.
func (h *host) startPlatform() string {
	h.t.Helper()
	p, err := platform.Start()
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(p.Close)
	shop := config.Service{Name: "shop", Slots: 8, Routes: []config.Route{{Path: "/shop"}, {Path: shopPath, Idempotent: true}}}
	uploads := config.Service{Name: "uploads", Slots: 8, Routes: []config.Route{{Path: "/uploads"}}}
	downloads := config.Service{Name: "downloads", Slots: downloadSlots, Routes: []config.Route{{Path: downloadPath, Idempotent: true}}}
	doc := &config.Document{Services: []config.Service{h.withServers(shop), h.withServers(uploads), h.withServers(downloads)}}
	if _, err := p.PutShard(fleet.Shard, doc); err != nil {
		h.t.Fatal(err)
	}
	self := config.ListedHost{Name: "h1", Address: h.address(peers), DataCentre: "dc1"}
	if err := p.PutHosts(&config.HostList{Hosts: []config.ListedHost{self}}); err != nil {
		h.t.Fatal(err)
	}
	return p.URL()
}

// withServers starts two backend servers for a service.
func (h *host) withServers(service config.Service) config.Service {
	h.t.Helper()
	for _, id := range []string{"b1", "b2"} {
		server, err := backend.Start(backend.Config{ID: service.Name + "-" + id, Slots: service.Slots, Download: download})
		if err != nil {
			h.t.Fatal(err)
		}
		h.t.Cleanup(server.Close)
		service.Backends = append(service.Backends, config.Backend{ID: id, Address: server.Address()})
	}
	return service
}

// start runs the daemon with the limit of descriptors.
func (h *host) start(program, settings string) {
	h.t.Helper()
	log, err := os.Create(h.log)
	if err != nil {
		h.t.Fatal(err)
	}
	h.command = exec.Command("sh", "-c", `ulimit -n "$1"; exec "$2" --settings "$3"`, "sh", strconv.Itoa(size.descriptorLimit), program, settings)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		h.t.Fatal(err)
	}
	go func() {
		_ = h.command.Wait() // checkLives reports an end
		close(h.exited)
	}()
	h.t.Cleanup(func() {
		close(h.stop)
		_ = h.command.Process.Signal(syscall.SIGKILL)
		<-h.exited
		log.Close()
	})
}

// awaitServed sends ordinary requests until one is answered.
func (h *host) awaitServed() {
	h.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(sampleInterval) {
		if h.ask() == nil {
			return
		}
	}
	h.t.Fatalf("the host serves no request: %v\n%s", h.ask(), h.lastLog())
}

// ask sends one ordinary request as a caller does, on a new connection.
func (h *host) ask() error {
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+h.address(callers)+shopPath, "text/plain", strings.NewReader("abc"))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if outcome := resp.Header.Get("Pearshelf-Outcome"); resp.StatusCode != http.StatusOK || outcome != "complete" {
		return fmt.Errorf("status %d, outcome %q", resp.StatusCode, outcome)
	}
	return nil
}

// send sends a shape on a connection of its own, and returns the status of the response.
func (h *host) send(l listener, s shape) (int, error) {
	conn, err := net.DialTimeout("tcp", h.address(l), patience)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return 0, err
	}
	if _, err := conn.Write(s.begin); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// askDuring checks that an ordinary caller gets its answer while the crowd is there.
func (h *host) askDuring() {
	h.t.Helper()
	if err := h.askAsCaller(); err != nil {
		h.t.Errorf("an ordinary request during the crowd: %v", err)
	}
}

// askAsCaller sends an ordinary request, and repeats it a few times if it is refused, as callers do.
func (h *host) askAsCaller() error {
	const tries = 5
	var err error
	for range tries {
		if err = h.ask(); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%d tries: %w", tries, err)
}

// awaitIdle waits until the process has dealt with all that was sent to it, and uses no processor time worth mention.
func (h *host) awaitIdle() {
	h.t.Helper()
	const interval, quiet = 100 * time.Millisecond, 2 // ticks of 10 ms
	last := h.processorTicks()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		time.Sleep(interval)
		now := h.processorTicks()
		if now-last <= quiet {
			return
		}
		last = now
	}
	h.t.Logf("the process was still busy after %s", patience)
}

// processorTicks returns the processor time that the process has used, 0 once it has ended.
func (h *host) processorTicks() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	const user, system = 11, 12 // fields after the name in parentheses
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= system {
		return 0
	}
	total := 0
	for _, text := range []string{fields[user], fields[system]} {
		n, err := strconv.Atoi(text)
		if err != nil {
			h.t.Fatal(err)
		}
		total += n
	}
	return total
}

func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// checkStops ends the process by a signal, and checks that it ends by itself and within its memory.
func (h *host) checkStops() {
	h.t.Helper()
	if err := h.command.Process.Signal(syscall.SIGTERM); err != nil {
		h.t.Fatal(err)
	}
	select {
	case <-h.exited:
	case <-time.After(patience):
		h.t.Fatalf("the process has not ended %s after SIGTERM\n%s", patience, h.lastLog())
	}
	h.mu.Lock()
	held := h.held >> 20
	h.mu.Unlock()
	state := h.command.ProcessState
	h.t.Logf("%s, %d MB of %d with the kernel's", state, held, size.memoryMB)
	if !state.Exited() {
		h.t.Errorf("the process did not end by itself: %s", state)
	}
	if held > size.memoryMB {
		h.t.Errorf("the process took %d MB with what the kernel held for it; its machine has %d", held, size.memoryMB)
	}
}

// check is called once the crowd has left.
func (h *host) check() {
	h.t.Helper()
	if !h.alive() {
		h.t.Fatalf("the process ended: %s\n%s", h.command.ProcessState, h.lastLog())
	}
	peak, err := h.peakMB()
	if err != nil {
		h.t.Fatal(err)
	}
	h.mu.Lock()
	descriptors, held := h.descriptors, h.held>>20
	h.mu.Unlock()
	h.t.Logf("peak %d MB of %d, %d MB with the kernel's, %d descriptors", peak, size.memoryMB, held, descriptors)
	if held > size.memoryMB {
		h.t.Errorf("the process took %d MB with what the kernel held for it; its machine has %d", held, size.memoryMB)
	}
	if peak > size.memoryMB {
		h.t.Errorf("the process took %d MB at its peak; its machine has %d", peak, size.memoryMB)
	}
	if descriptors > size.maxDescriptors {
		h.t.Errorf("%d descriptors in use, want %d at most", descriptors, size.maxDescriptors)
	}
	if err := h.askAsCaller(); err != nil {
		h.t.Errorf("an ordinary request after the crowd: %v", err)
	}
}

// peakMB returns the largest resident set of the process in MiB.
func (h *host) peakMB() (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	scanner := bufio.NewScanner(bytes.NewReader(raw))
	for scanner.Scan() {
		if text, ok := strings.CutPrefix(scanner.Text(), "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(text, "kB")))
			return kib >> 10, err
		}
	}
	return 0, errors.New("/proc has no VmHWM")
}

// sample notes what the process holds until the host stops.
func (h *host) sample() {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-tick.C:
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.command.Process.Pid))
		if err != nil {
			continue // the process has ended, which check reports
		}
		held := h.residentBytes() + h.kernelBytes(entries)
		h.mu.Lock()
		h.descriptors = max(h.descriptors, len(entries))
		h.held = max(h.held, held)
		h.mu.Unlock()
	}
}

// residentBytes returns the size of the process's resident set, 0 once it has ended.
func (h *host) residentBytes() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// kernelBytes returns how many bytes the kernel holds for the process, received and not read or written and not
// acknowledged: for its sockets, which are among its descriptors, and for connections that wait to be accepted.
func (h *host) kernelBytes(descriptors []os.DirEntry) int {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sockets := make(map[string]bool)
	for _, d := range descriptors {
		target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", h.command.Process.Pid, d.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	ip := net.ParseIP(h.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	total := 0
	for line := range strings.Lines(string(raw)) {
		const address, state, queues, inode = 1, 3, 4, 9 // fields
		fields := strings.Fields(line)
		if len(fields) <= inode || fields[state] == tcpListen {
			continue
		}
		if !sockets[fields[inode]] && !strings.HasPrefix(fields[address], local) {
			continue
		}
		for queue := range strings.SplitSeq(fields[queues], ":") {
			if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
				total += int(n)
			}
		}
	}
	return total
}

// lastLog returns the end of what the process wrote.
func (h *host) lastLog() string {
	const most = 2000
	raw, err := os.ReadFile(h.log)
	if err != nil {
		return err.Error()
	}
	return string(raw[max(len(raw)-most, 0):])
}
