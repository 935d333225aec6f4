package upstream_test

import (
	"context"
	"io"
	"io/fs"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/upstream"
	"github.com/pearshelf/pearshelf/standin/endless"
)

// endlessHeads are heads of responses that do not end: the beginning and what is repeated.
var endlessHeads = map[string][2]string{
	"status line":       {"HTTP/1.1 200 ", strings.Repeat("a", 1000)},
	"one field":         {"HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("a", 1000)},
	"many fields":       {"HTTP/1.1 200 OK\r\n", "X-Filler: " + strings.Repeat("a", 100) + "\r\n"},
	"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"early hints":       {"", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
}

func sendTo(t *testing.T, ctx context.Context, transport *upstream.Transport, address string) (*upstream.Answer, *upstream.Failure) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", upstream.Body(nil))
	if err != nil {
		t.Fatal(err)
	}
	return transport.Do(ctx, req, upstream.Conditions{})
}

// Guards against heads of responses that use up the host's memory: a server that sent a head without
// end was read up to 10 MB a connection.
func TestEndlessHeadsAreCutOff(t *testing.T) {
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			s := endless.StartFor(t, endless.Response{Begin: head[0], Repeat: head[1]})
			var dialer endless.Dialer
			transport := upstream.NewTransport(upstream.Config{Dial: dialer.Dial})
			_, failure := sendTo(t, t.Context(), transport, s.Address())
			if failure == nil || !failure.Written || errs.KindOf(failure) != errs.KindHeadTooLong {
				t.Fatalf("got %v, want a failure after the write of kind %s", failure, errs.KindHeadTooLong)
			}
			if n, _ := dialer.Read(); n > upstream.MaxHeadBytes {
				t.Errorf("%d bytes were read, more than MaxHeadBytes", n)
			}
			<-s.Closed
		})
	}
}

// Guards against a head that trickles and holds its request beyond the deadline.
func TestTricklingHeadEndsAtDeadline(t *testing.T) {
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.StartFor(t, endless.Response{Begin: head[0], Repeat: head[1], Pause: 20 * time.Millisecond})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, failure := sendTo(t, ctx, upstream.NewTransport(upstream.Config{}), s.Address())
			if failure == nil || !failure.Written || errs.KindOf(failure) != errs.KindDeadline {
				t.Fatalf("got %v, want a failure after the write of kind %s", failure, errs.KindDeadline)
			}
			<-s.Closed
		})
	}
}

// Guards against a limit that rejects responses with large heads, such as many cookies.
func TestLargeHeadPasses(t *testing.T) {
	const fields, fieldBytes = 48, 1 << 10
	s := endless.StartFor(t, endless.Response{
		Begin: "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n" +
			strings.Repeat("Set-Cookie: "+strings.Repeat("a", fieldBytes)+"\r\n", fields) + "\r\nok",
		Pause: time.Minute,
	})
	answer, failure := sendTo(t, t.Context(), upstream.NewTransport(upstream.Config{}), s.Address())
	if failure != nil {
		t.Fatal(failure)
	}
	defer answer.Discard()
	if got := len(answer.Header.Values("Set-Cookie")); got != fields {
		t.Errorf("%d fields, want %d", got, fields)
	}
}

// Guards against a client without the limit: all transports must be made by NewHTTPTransport.
func TestAllTransportsLimitHeads(t *testing.T) {
	const root = "../.."
	made := regexp.MustCompile(`http\.(Transport\{|Client\{\}|DefaultClient|DefaultTransport|Get\(|Post\()`)
	for _, dir := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, "upstream/head.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, found := range made.FindAll(source, -1) {
				t.Errorf("%s uses %s instead of upstream.NewHTTPTransport", path, found)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against unwanted bodies that hold their connections until the request's deadline.
func TestUnwantedBodyWithoutEndIsCutOff(t *testing.T) {
	for name, body := range endless.Bodies {
		for speed, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
			t.Run(name+" "+speed, func(t *testing.T) {
				t.Parallel()
				s := endless.StartFor(t, endless.Response{Begin: "HTTP/1.1 503 Service Unavailable\r\n" + body[0], Repeat: body[1], Pause: pause})
				answer, failure := sendTo(t, t.Context(), upstream.NewTransport(upstream.Config{}), s.Address())
				if failure != nil {
					t.Fatal(failure)
				}
				answer.DrainAndClose()
				select {
				case <-s.Closed:
				case <-time.After(10 * time.Second):
					t.Error("the connection is still open")
				}
			})
		}
	}
}

// silentBody is a body of which no byte arrives until it is closed.
type silentBody struct{ closed chan struct{} }

func (b silentBody) Read([]byte) (int, error) { <-b.closed; return 0, net.ErrClosed }
func (b silentBody) Close() error             { return nil }

// Guards against a request that waits for the end of a body that it does not want.
func TestRequestDoesNotWaitForUnwantedBody(t *testing.T) {
	body := silentBody{closed: make(chan struct{})}
	defer close(body.closed)
	answer := &upstream.Answer{Response: &http.Response{Body: body}}
	answer.DrainAndClose() // must return
}

// Guards against a new connection after each rejection: a short body that is not wanted is read, and its
// connection carries the next request.
func TestConnectionOfDrainedBodyIsReused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, strings.Repeat("a", 1000))
	}))
	defer server.Close()
	transport := upstream.NewTransport(upstream.Config{})
	reused := 0
	const requests = 20
	for range requests {
		answer, failure := sendTo(t, t.Context(), transport, strings.TrimPrefix(server.URL, "http://"))
		if failure != nil {
			t.Fatal(failure)
		}
		if answer.Reused {
			reused++
		}
		answer.DrainAndClose()
	}
	if reused == 0 {
		t.Errorf("none of %d requests was sent on a connection that had carried another one", requests)
	}
}
