package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/upstream"
)

// startRaw starts a server that passes each connection on once it has read the head of a request.
func startRaw(t *testing.T, serve func(conn *net.TCPConn, r *http.Request)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// post sends a request once.
func post(t *testing.T, transport *upstream.Transport, address string, body io.Reader, length int64) (*upstream.Answer, *upstream.Failure) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", body)
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = length
	return transport.Do(context.Background(), req, upstream.Conditions{})
}

// Guards against a part of a body that passes for the whole: a write of the upload that meets the reset of the
// connection leaves a plain end to the next read.
func TestResetDuringUploadIsNoEndOfBody(t *testing.T) {
	const upload, part, rounds = 4 << 20, 3000, 30
	for name, head := range map[string]string{
		"HTTP/1.1":          "HTTP/1.1 200 OK\r\n\r\n",
		"connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := startRaw(t, func(conn *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(conn, head+strings.Repeat("x", part))
				time.Sleep(time.Duration(5+rand.IntN(10)) * time.Millisecond)
				_ = conn.SetLinger(0)
			})
			transport := upstream.NewTransport(upstream.Config{})
			defer transport.Close()
			for range rounds {
				answer, failure := post(t, transport, address, bytes.NewReader(make([]byte, upload)), upload)
				if failure != nil {
					continue // the reset came before the head was read
				}
				if body, err := io.ReadAll(answer.Body); err == nil {
					t.Errorf("%d bytes passed for the whole body", len(body))
				}
				answer.Discard()
			}
		})
	}
}

// A body without a length is complete if the server ends the connection after it has read the request.
func TestEndOfConnectionEndsBody(t *testing.T) {
	const rounds = 200
	address := startRaw(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
	})
	transport := upstream.NewTransport(upstream.Config{})
	defer transport.Close()
	for i := range rounds {
		length := i << 10
		var body io.Reader = bytes.NewReader(make([]byte, length))
		if i%2 == 0 {
			body = io.MultiReader(body) // not known to be in memory
		}
		answer, failure := post(t, transport, address, body, int64(length))
		if failure != nil {
			t.Fatal(failure)
		}
		if got, err := io.ReadAll(answer.Body); err != nil || string(got) != "whole" {
			t.Errorf("upload of %d bytes: %q, %v", length, got, err)
		}
		answer.Discard()
	}
}

const soundHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

// invalidHeads are responses that no client may take for an answer.
var invalidHeads = map[string]string{
	"status 000":                       "HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\nok",
	"status 099":                       "HTTP/1.1 099 Low\r\nContent-Length: 2\r\n\r\nok",
	"status 600":                       "HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\nok",
	"blank in a name":                  soundHead + "X Odd: a\r\n\r\nok",
	"blank after a name":               soundHead + "X-Odd : a\r\n\r\nok",
	"blank after Content-Length":       "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more",
	"blank in Content-Length":          "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok and more",
	"blank after Transfer-Encoding":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"transfer coding of HTTP/1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"later transfer coding of 1.0":     "HTTP/1.0 200 OK\r\n" + strings.Repeat("X-Fine: a\r\n", 1000) + "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"control character in a name":      soundHead + "X-\x01Odd: a\r\n\r\nok",
	"control character in a value":     soundHead + "X-Odd: a\x01\r\n\r\nok",
	"DEL in a name":                    soundHead + "X-Odd\x7f: a\r\n\r\nok",
	"no name":                          soundHead + ": a\r\n\r\nok",
	"blank in a name of an interim":    "HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\n" + soundHead + "\r\nok",
	"blank in a name of a later field": soundHead + strings.Repeat("X-Fine: a\r\n", 50) + "X Odd: a\r\n\r\nok",
}

func TestInvalidHeadIsFailure(t *testing.T) {
	for name, response := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			address := startRaw(t, func(conn *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, response)
			})
			transport := upstream.NewTransport(upstream.Config{})
			defer transport.Close()
			answer, failure := post(t, transport, address, strings.NewReader("abc"), 3)
			if failure == nil {
				body, err := io.ReadAll(answer.Body)
				t.Fatalf("status %d with %v, body %q, %v", answer.StatusCode, answer.Header, body, err)
			}
			if kind := errs.KindOf(failure.Unwrap()); !failure.Written || kind != errs.KindAnswerBroken {
				t.Errorf("%v: written %t, kind %s", failure, failure.Written, kind)
			}
			resp, err := (&http.Client{Transport: upstream.NewHTTPTransport((&net.Dialer{}).DialContext, upstream.MaxHeadBytes)}).Get("http://" + address)
			if err == nil && !strings.Contains(name, "interim") && !strings.Contains(name, "transfer coding") {
				resp.Body.Close()
				t.Errorf("a plain client got status %d with %v", resp.StatusCode, resp.Header)
			}
		})
	}
}

// A trailer with a line that is not a field makes the body incomplete.
func TestInvalidTrailerIsNoEndOfBody(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\n"
	for line, valid := range map[string]bool{"X-Sum: a": true, "X Sum: a": false, "X-Sum : a": false, "X-Sum: a\x01": false} {
		address := startRaw(t, func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, begin+line+"\r\n\r\n")
		})
		transport := upstream.NewTransport(upstream.Config{})
		defer transport.Close()
		answer, failure := post(t, transport, address, strings.NewReader("abc"), 3)
		if failure != nil {
			t.Fatal(failure)
		}
		body, err := io.ReadAll(answer.Body)
		if (err == nil) != valid || string(body) != "ok" {
			t.Errorf("trailer %q: body %q, %v", line, body, err)
		}
		answer.Discard()
	}
}

// isFieldLine reports whether a line is a field of a valid head (RFC 9112, section 5), or continues one.
func isFieldLine(line string) bool {
	const marks = "!#$%&'*+-.^_`|~"
	name, value, found := strings.Cut(line, ":")
	if strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") {
		name, value, found = "folded", line, true
	}
	for _, c := range []byte(name) {
		isLetter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !isLetter && (c < '0' || c > '9') && !strings.ContainsRune(marks, rune(c)) {
			return false
		}
	}
	for _, c := range []byte(value) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return found && name != ""
}

// FuzzCheckHead checks that no head is taken for valid of which a line is not a field.
func FuzzCheckHead(f *testing.F) {
	for _, response := range invalidHeads {
		f.Add([]byte(response))
	}
	f.Add([]byte(soundHead + "X-Fine: a\r\n b\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
		if err != nil {
			return
		}
		defer response.Body.Close()
		var invalid *upstream.HeadError
		if err := upstream.CheckHead(response); err != nil {
			if !errors.As(err, &invalid) {
				t.Errorf("%v is not a HeadError", err)
			}
			return
		}
		if err := checkRaw(raw); err != nil {
			t.Errorf("%q is taken for valid: %v", raw, err)
		}
	})
}

// checkRaw checks the lines of a head.
func checkRaw(raw []byte) error {
	scanner := bufio.NewScanner(bytes.NewReader(raw))
	scanner.Scan()
	if fields := strings.Fields(scanner.Text()); len(fields) < 2 || fields[1] < "100" || fields[1] > "599" {
		return fmt.Errorf("status line %q", scanner.Text())
	}
	for scanner.Scan() && scanner.Text() != "" {
		if !isFieldLine(scanner.Text()) {
			return fmt.Errorf("line %q", scanner.Text())
		}
	}
	return scanner.Err()
}

// Guards against the end of another request: after a response without a body, its connection may carry the next one when
// the head turns out to be invalid.
func TestInvalidHeadWithoutBodyEndsNoOtherRequest(t *testing.T) {
	const requests, workers = 200, 8
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/odd" {
			w.WriteHeader(600)
		}
	})}
	go func() { _ = server.Serve(listener) }() // until Close
	defer server.Close()
	transport := upstream.NewTransport(upstream.Config{})
	defer transport.Close()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range requests {
				path := "/"
				if i%2 == 0 {
					path = "/odd"
				}
				req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+path, upstream.Body(nil))
				if err != nil {
					t.Error(err)
					return
				}
				answer, failure := transport.Do(context.Background(), req, upstream.Conditions{})
				if path == "/" && failure != nil && failure.Written {
					t.Errorf("a sound response was lost: %v", failure)
				}
				if failure == nil {
					answer.DrainAndClose()
				}
			}
		})
	}
	wg.Wait()
}
