package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// host is one process of the system, started with the command of the deploy file.
type host struct {
	name                        string
	front, ready, control, oper string
	settings                    string
	cmd                         *exec.Cmd
	done                        chan struct{}
}

var hosts []*host

// startHosts starts count processes, spread over the zones, with settings as the template renders them.
func startHosts(dir string, s *store, count int, zones []string) []*host {
	for i := range count {
		hosts = append(hosts, &host{name: fmt.Sprintf("front-%d", i+1), front: freeAddress(), ready: freeAddress(), control: freeAddress(), oper: freeAddress()})
	}
	var seeds []string
	for i := 0; i < min(3, count); i++ {
		seeds = append(seeds, strconv.Quote(hosts[i].control))
	}
	var regions []string
	for _, z := range zones {
		regions = append(regions, fmt.Sprintf("%q: \"hcm\"", z))
	}
	for i, h := range hosts {
		text := fmt.Sprintf(`host: %s
data_centre: %s
regions: {%s}
cores: 0.32
memory_mb: 284
caller:
  listen: "%s"
  ready_listen: "%s"
peer:
  listen: "%s"
  seeds: [%s]
  insecure: true
operator:
  listen: "%s"
  insecure: true
platform:
  kind: store
  address: "http://%s"
  direct_after: 1ms
  direct_spread: 200ms
forwarding: false
retry:
  fleet_share: 0.2
  fleet_reserve: 60
  window: 10s
backend:
  dial_timeout: 250ms
  buffer_bytes: 1048576
  replay_bytes: 1048576
timing:
  stop_grace: 2600ms
  kill_after: 6s
`, h.name, zones[i%len(zones)], strings.Join(regions, ", "), h.front, h.ready, h.control, strings.Join(seeds, ", "), h.oper, s.address)
		h.settings = filepath.Join(dir, h.name+".yaml")
		if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
			cannotRun("settings: %v", err)
		}
		h.start(dir)
	}
	return hosts
}

// freeAddress returns an address that is free for TCP and UDP. Its port is below those that the machine
// gives to outgoing connections, so that none of these takes it before the process listens. Programs that
// run at the same time look in different ranges.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+os.Getpid()%18*1000+rand.IntN(1000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp", address)
		l.Close()
		if err != nil {
			continue
		}
		p.Close()
		if !given[address] {
			given[address] = true
			return address
		}
	}
	cannotRun("no free port")
	return ""
}

var given = make(map[string]bool)

func (h *host) start(dir string) {
	log, err := os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("log: %v", err)
	}
	h.cmd = exec.Command("target/pearshelfd")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "PEARSHELF_SETTINGS=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		cannotRun("start %s: %v", h.name, err)
	}
	h.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		cmd.Wait()
		close(done)
	}(h.cmd, h.done)
	note("start %s pid %d", h.name, h.cmd.Process.Pid)
}

func (h *host) ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

func stopHosts() {
	for _, h := range hosts {
		if h.cmd != nil && h.cmd.Process != nil && !h.ended() {
			h.cmd.Process.Kill()
			<-h.done
		}
	}
}

// cpuSeconds is the processor time that the process has used.
func (h *host) cpuSeconds() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100
}

// awaitReady waits until all hosts say that they are ready.
func awaitReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(20 * time.Second)
	for _, h := range hosts {
		for {
			resp, err := client.Get("http://" + h.ready + "/-/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				cannotRun("%s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	note("all hosts ready")
}

func dial(address string) net.Conn {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		note("connect %s: %v", address, err)
		return nil
	}
	return c
}
