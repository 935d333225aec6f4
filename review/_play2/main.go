// Command play2 plays the cases of the second review: it starts the system's own processes and stands in
// for the platform's store, the endpoints and the requesters.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	began  = time.Now()
	record *os.File
	noteMu sync.Mutex
	dir    string

	runsMu sync.Mutex
	runs   = make(map[string][]string) // servers that ran a request, by its id
)

// note writes a line to the record.
func note(format string, args ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	fmt.Fprintf(record, "%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

func ran(id, server string) {
	runsMu.Lock()
	defer runsMu.Unlock()
	runs[id] = append(runs[id], server)
}

func runsOf(id string) int {
	runsMu.Lock()
	defer runsMu.Unlock()
	return len(runs[id])
}

func end(code int) {
	stopHosts()
	if code == 2 || os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	}
	record.Close()
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	note("CANNOT RUN: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	end(2)
}

// verdict ends the case.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word, code := "held", 0
	if broken {
		word, code = "BROKEN", 1
	}
	note("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	end(code)
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// result is what a requester saw of one request.
type result struct {
	id     string
	status int // 0 if the connection ended without an answer
	body   string
	header http.Header
	err    error
	took   time.Duration
}

// ask sends one request on a connection and reads its answer.
func ask(c net.Conn, in *bufio.Reader, method, target, host, id, body string, deadline time.Duration) result {
	start := time.Now()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, id, deadline.Milliseconds())
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	c.SetDeadline(start.Add(deadline))
	note("send %s %s %s", id, method, target)
	r := result{id: id}
	if _, r.err = c.Write([]byte(b.String())); r.err == nil {
		var resp *http.Response
		if resp, r.err = http.ReadResponse(in, &http.Request{Method: method}); r.err == nil {
			raw := make([]byte, 0, 1024)
			buf := make([]byte, 4096)
			for {
				n, err := resp.Body.Read(buf)
				raw = append(raw, buf[:n]...)
				if err != nil {
					break
				}
			}
			r.status, r.body, r.header = resp.StatusCode, string(raw), resp.Header
		}
	}
	r.took = time.Since(start)
	if r.status != 0 {
		note("answer %s %d (%d bytes) after %.3f s", id, r.status, len(r.body), r.took.Seconds())
	} else {
		note("no answer %s: %v after %.3f s", id, r.err, r.took.Seconds())
	}
	return r
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: play2 CASE RECORD")
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	if dir, err = os.MkdirTemp("", "play2-"); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cannotRun("stopped by a signal")
	}()
	go func() {
		time.Sleep(110 * time.Second)
		cannotRun("the case took too long")
	}()
	switch os.Args[1] {
	case "retired":
		retired()
	case "removed":
		removed()
	default:
		cannotRun("no case %q", os.Args[1])
	}
}

func route(name, kind, prefix, service string, timeout float64, attempts int) map[string]any {
	return map[string]any{"Name": name, "Kind": kind, "SloS": 1.5, "Priority": 1, "Match": map[string]any{"Prefix": prefix},
		"Action": map[string]any{"Service": service, "TimeoutS": timeout, "Attempts": attempts}}
}

func configuration(host string, version int, services []string, routes ...map[string]any) map[string]any {
	clusters := []map[string]any{}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"Name": s, "HealthPath": "/healthz", "MaxConns": 360, "Protocol": "h1", "Tls": false})
	}
	return map[string]any{"Version": fmt.Sprintf("%08x", version),
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Listeners": []map[string]any{{"Host": host, "Policy": routes}}, "Clusters": clusters}
}
