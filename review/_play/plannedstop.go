package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// plannedStop plays the planned stop of one host: SIGTERM, and SIGKILL after GraceS. The rule: a request that the
// host has passed on to a server is answered whole, unless the server was at work on it in the last sixth of
// GraceS, or its time was over.
func plannedStop(p *play) (verdict, error) {
	const (
		grace     = 10 * time.Second // GraceS
		planWork  = 6500 * time.Millisecond
		alertWork = 3700 * time.Millisecond
		timeout   = 10.0 // TimeoutS of plans
		alertsTo  = 6.0  // TimeoutS of alerts
		deadline  = 12 * time.Second
		each      = 4 // requests of each kind
	)
	w, err := newWorld(p, []string{"plans", "alerts"}, []route{
		{prefix: "/plans/", kind: "safe", service: "plans", timeoutS: timeout, sloS: 8, attempts: 2, priority: 2},
		{prefix: "/alerts/", kind: "unsafe", service: "alerts", timeoutS: alertsTo, sloS: 5, attempts: 2, priority: 1},
	})
	if err != nil {
		return verdict{}, err
	}
	for i := range 6 {
		conf := serverConfig{service: "plans", slots: 6, queue: 16, work: planWork}
		if i%2 == 1 {
			conf.service, conf.work = "alerts", alertWork
		}
		if err := w.addServer(conf); err != nil {
			return verdict{}, err
		}
	}
	defer w.stop()
	if err := w.startHosts(); err != nil {
		return verdict{}, err
	}
	h := w.fleet.hosts[0]
	// Each kept connection carries an alert that is answered before the stop, and then one during the grace.
	var pending sync.WaitGroup
	terminated := make(chan time.Time, 1)
	stopped := make(chan struct{})
	for i := range each {
		c, err := dialKept(h.front)
		if err != nil {
			return verdict{}, err
		}
		pending.Go(func() {
			defer c.close()
			c.send(p.journal, request{id: fmt.Sprintf("alert-first-%d", i), kind: "unsafe", method: "POST", host: hostName, path: "/alerts/1", deadline: deadline, body: "ack"})
			<-stopped
			time.Sleep(2300 * time.Millisecond)
			c.send(p.journal, request{id: fmt.Sprintf("alert-second-%d", i), kind: "unsafe", method: "POST", host: hostName, path: "/alerts/2", deadline: deadline, body: "ack"})
		})
	}
	time.Sleep(5 * time.Second) // the first alerts have been answered
	for i := range each {
		pending.Go(func() {
			send(p.journal, h.front, request{id: fmt.Sprintf("plan-%d", i), kind: "safe", method: "GET", host: hostName, path: "/plans/1", deadline: deadline})
		})
	}
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		p.journal.add("SIGTERM to %s", h.name)
		_ = h.command.Process.Signal(syscall.SIGTERM) // it runs
	}
	terminated <- time.Now()
	close(stopped)
	if p.trouble {
		select {
		case <-h.ended:
			p.journal.add("%s has ended by itself", h.name)
		case <-time.After(grace):
			p.journal.add("SIGKILL to %s after GraceS", h.name)
			_ = h.command.Process.Kill() // it may have ended
		}
	}
	pending.Wait()
	return judgeStop(p.journal, <-terminated, grace), nil
}

// keptConnection is a client's connection that carries several requests.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	host   string
}

func dialKept(address string) (*keptConnection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConnection{conn: conn, reader: bufio.NewReader(conn), host: address}, nil
}

func (c *keptConnection) close() { c.conn.Close() }

// send sends a request on the connection and records the answer.
func (c *keptConnection) send(j *journal, r request) {
	j.send(r.id, r.kind, c.host)
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline)) // only a closed connection has none
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", r.method, r.path, r.host, r.id, r.deadline.Milliseconds(), len(r.body), r.body)
	if err != nil {
		j.answered(r.id, 0, err.Error())
		return
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		j.answered(r.id, 0, err.Error())
		return
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		j.answered(r.id, 0, err.Error())
		return
	}
	j.answered(r.id, answer.StatusCode, fmt.Sprintf("(signature %q, Connection %q)", answer.Header.Get("X-Upstream-Signature"), answer.Header.Get("Connection")))
}

// judgeStop checks LOST: all requests were sent before the SIGTERM or less than 3 s after it, on connections that
// the host had taken, and none of the servers works longer than five sixths of GraceS after it.
func judgeStop(j *journal, at time.Time, grace time.Duration) verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	var lost []string
	statuses := make(map[int]int)
	for id := range j.sent {
		statuses[j.got[id]]++
		if j.got[id] != 200 && len(j.runs[id]) > 0 {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	return verdict{
		isBad:  len(lost) > 0,
		broken: lost,
		lines: []string{
			fmt.Sprintf("SIGTERM at %.1f s, GraceS %s", at.Sub(j.start).Seconds(), grace),
			fmt.Sprintf("%d requests; answers by status, 0 for a connection that ended without one: %v", len(j.sent), statuses),
			fmt.Sprintf("LOST: %d had been passed on to a server and got no whole answer of it: %v", len(lost), lost),
		},
	}
}
