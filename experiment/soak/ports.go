package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports of the daemons lie below those that the system gives to outgoing
// connections (from 32768 on by default): one of these could otherwise take the
// port of a daemon that is being restarted. For the same reason each run takes a
// block of its own, whose first port it keeps open.
const (
	firstPort    = 20000
	lastPort     = 32000
	blockPorts   = 1000 // for 300 hosts
	portsPerHost = 3    // callers, peers, operators
)

// ports is the block of one run.
type ports struct {
	guard net.Listener
	next  int
	end   int
}

// claimPorts takes a block that no other run has.
func claimPorts() (*ports, error) {
	blocks := (lastPort - firstPort) / blockPorts
	for _, b := range rand.Perm(blocks) {
		first := firstPort + b*blockPorts
		guard, err := net.Listen("tcp", loopback(first))
		if err == nil {
			return &ports{guard: guard, next: first + 1, end: first + blockPorts}, nil
		}
	}
	return nil, errors.New("no free block of ports on loopback: end other soak runs")
}

func (p *ports) release() { p.guard.Close() }

// take returns addresses that are free for TCP and UDP.
func (p *ports) take(n int) ([]string, error) {
	var addresses []string
	for ; p.next < p.end && len(addresses) < n; p.next++ {
		if address := loopback(p.next); isFree(address) {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) < n {
		return nil, errors.New("the run's block of ports is used up: start fewer hosts")
	}
	return addresses, nil
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func isFree(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
