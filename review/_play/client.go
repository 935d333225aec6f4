package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is a request of a client, which uses a new connection for it and does not repeat it.
type request struct {
	id, kind, method, host, path string
	deadline                     time.Duration
	body                         string
}

// send sends a request to the address of a host and records the answer.
func send(j *journal, address string, r request) {
	j.send(r.id, r.kind, address)
	status, detail := exchange(address, r)
	j.answered(r.id, status, detail)
}

// exchange returns the status of the answer, 0 if the connection ended without a whole one.
func exchange(address string, r request) (status int, detail string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "cannot connect: " + err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.deadline)) // only a closed connection has none
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nConnection: close\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	if r.body != "" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.body))
	}
	if _, err := io.WriteString(c, head.String()+"\r\n"+r.body); err != nil {
		return 0, err.Error()
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	length, err := io.Copy(io.Discard, answer.Body)
	if err != nil {
		return 0, fmt.Sprintf("status %d, body broken off after %d bytes: %v", answer.StatusCode, length, err)
	}
	return answer.StatusCode, fmt.Sprintf("(%d bytes, signature %q, Retry-After %q)", length, answer.Header.Get("X-Upstream-Signature"), answer.Header.Get("Retry-After"))
}

// load sends requests in clumps at random times, at a mean rate a second, until the time has passed and all are
// answered.
func load(j *journal, f *fleet, rate float64, clump int, length time.Duration, seed uint64, next func(n int) request) {
	random := rand.New(rand.NewPCG(seed, 2))
	var pending sync.WaitGroup
	end := time.Now().Add(length)
	at := time.Now()
	for n := 0; at.Before(end); {
		time.Sleep(time.Until(at))
		for range clump {
			r := next(n)
			address := f.hosts[random.IntN(len(f.hosts))].front
			pending.Go(func() { send(j, address, r) })
			n++
		}
		at = at.Add(time.Duration(random.ExpFloat64() * float64(clump) / rate * float64(time.Second)))
	}
	pending.Wait()
}
