package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// host is one process of the deploy file.
type host struct {
	name, zone            string
	front, ready, control string
	settings              string
	command               *exec.Cmd
	ended                 chan struct{} // closed once the process has ended
}

// fleet is a set of hosts on loopback addresses.
type fleet struct {
	folder, program string
	hosts           []*host
}

// startFleet starts a host in each of the zones given, with the command and the template of the deploy file.
func startFleet(p *play, store string, zones []string) (*fleet, error) {
	program, template, err := readDeployFile()
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: p.folder, program: program}
	p.fleet.Store(f)
	operators := make([]int, len(zones))
	var seeds []string
	regions := make(map[string]string)
	ports, err := freePorts(4 * len(zones))
	if err != nil {
		return nil, err
	}
	for i, zone := range zones {
		at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", ports[4*i+n]) }
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: at(0), ready: at(1), control: at(2)})
		operators[i] = ports[4*i+3]
		if len(seeds) < 3 {
			seeds = append(seeds, at(2))
		}
		regions[zone] = "region"
	}
	for i, h := range f.hosts {
		values := map[string]string{
			"Node": h.name, "Zone": h.zone, "Zones|json": asJSON(regions), "Limits.CpuShare": "0.32", "Limits.MemoryMb": "284",
			"Listen.Front": h.front, "Listen.Ready": h.ready, "Listen.Control": h.control, "Seeds|json": asJSON(seeds),
			"Ip": "127.0.0.1", "PortRange.0": fmt.Sprint(operators[i]), "Provider.Addr": store,
			"Bounds.RetryRatio": "0.2", "Bounds.RetrySlack": "60", "Bounds.RetryWindowS": "10",
		}
		h.settings = fill(template, values)
		if err := f.start(h); err != nil {
			return f, err
		}
	}
	return f, nil
}

// start starts the process of a host, as the platform does: no variables but a few, output to a file.
func (f *fleet) start(h *host) error {
	path := filepath.Join(f.folder, h.name+".settings")
	if err := os.WriteFile(path, []byte(h.settings), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(f.program)
	h.command = exec.Command(words[0], words[1:]...)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PEARSHELF_SETTINGS=" + path}
	h.command.Stdout, h.command.Stderr = output, output
	if err := h.command.Start(); err != nil {
		return err
	}
	command, ended := h.command, make(chan struct{})
	h.ended = ended
	go func() {
		_ = command.Wait() // how it ended is not judged
		output.Close()
		close(ended)
	}()
	return nil
}

// awaitReady waits until all hosts report that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, h := range f.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", h.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + h.ready + "/-/readyz")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// restart kills all processes and starts them again after a pause.
func (f *fleet) restart(pause time.Duration) error {
	f.stop()
	time.Sleep(pause)
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that this program started.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Kill() // it may have ended
			<-h.ended
		}
	}
}

// readDeployFile returns the program and the template of settings that the deploy file names.
func readDeployFile() (program, template string, err error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", "", err
	}
	value := func(key string) string {
		found := regexp.MustCompile(`(?m)^` + key + `\s*=\s*"([^"]*)"`).FindSubmatch(raw)
		if found == nil {
			return ""
		}
		return string(found[1])
	}
	text, err := os.ReadFile(value("template"))
	return value("run"), string(text), err
}

// fill fills in a template. Sections are left out: the settings here have none of the values that they name.
func fill(template string, values map[string]string) string {
	text := regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}.*?\{\{/([\w.]+)\}\}\n?`).ReplaceAllString(template, "")
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return text
}

func asJSON(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// freePorts returns ports that are free for TCP and UDP. They are below the range from which the system takes the
// ports of outgoing connections.
func freePorts(count int) ([]int, error) {
	const low, high = 12000, 32000
	var ports []int
	for range 100 * count {
		port := low + rand.IntN(high-low)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer listener.Close() // held until all ports are found
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		defer packets.Close()
		if ports = append(ports, port); len(ports) == count {
			return ports, nil
		}
	}
	return nil, errors.New("no free ports")
}
