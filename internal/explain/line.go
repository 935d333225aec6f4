// Package explain determines from the logs of a fleet what happened to a request, and why. Its only
// input is the lines that pearshelfd writes.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
)

// maxLineBytes is the maximum length of a line. A longer line makes Read fail.
const maxLineBytes = 1 << 20

// headerPattern matches the header of a klog line: severity and date, time, process and source location.
// In a log collected from many hosts it may be preceded by the host's name.
var (
	headerPattern = regexp.MustCompile(`^(.*?)\b[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) +\d+ [^\]]+\] "((?:[^"\\]|\\.)*)"(.*)$`)
	fieldPattern  = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

const timeLayout = "0102 15:04:05.000000" // klog does not write the year

// line is a parsed line of a host's log.
type line struct {
	at      time.Time
	host    string // from the prefix of the line or the name of the log
	message string
	fields  map[string]string
}

// parseLine parses a line of a host's log. ok is false if text is not a klog line.
func parseLine(text, host string) (l line, ok bool) {
	m := headerPattern.FindStringSubmatch(text)
	if m == nil {
		return line{}, false
	}
	at, err := time.Parse(timeLayout, m[2])
	if err != nil {
		return line{}, false
	}
	if prefix := strings.Fields(m[1]); len(prefix) > 0 {
		host = prefix[len(prefix)-1]
	}
	l = line{at: at, host: host, message: m[3], fields: make(map[string]string)}
	for _, f := range fieldPattern.FindAllStringSubmatch(m[4], -1) {
		l.fields[f[1]] = unquote(f[2])
	}
	return l, true
}

// missed returns the number of lines of the same kind that the host omitted before this one, or 0 if
// the log is of an older version without this field.
func (l line) missed() int {
	missed, err := strconv.Atoi(l.fields["missed"])
	if err != nil {
		return 0
	}
	return missed
}

func unquote(value string) string {
	if plain, err := strconv.Unquote(value); err == nil {
		return plain
	}
	return value
}

// attempt is one send of a request to a backend server, as logged.
type attempt struct {
	server       string
	result       string // such as answered/500, not-run/503, dial-failed
	took         time.Duration
	belief       float64 // that the server was failing when it was picked
	load         float64 // requests in progress at the server when it was picked
	serverState  string  // after a broken connection: alive, ended or unknown
	purpose      string  // of a second or later send, empty for the first one
	statusBefore string  // what the server had reported before it was picked, if anything
	statusAfter  string  // what the server reported in its response, if anything
	connection   string  // "new", or "kept/N" after N earlier requests; empty for none
	response     string  // status and ID of the response, empty for none
	evidence     string  // what shows that this send did not run the request, empty if nothing
}

// describe describes the attempt in one line.
func (t attempt) describe() string {
	if t.isRelay() {
		return fmt.Sprintf("relayed through host %s, %s after %s", t.server, t.result, t.took) + t.describeDelivery()
	}
	send := "server"
	if t.purpose != "" {
		send = t.purpose + " to server"
	}
	text := fmt.Sprintf("%s %s, %s after %s; when picked: belief that it fails %.2f, %.1f requests in progress there", send, t.server, t.result, t.took, t.belief, t.load)
	if t.statusBefore != "" {
		text += ", " + t.statusBefore
	}
	if t.statusAfter != "" {
		text += "; the server reported in its response: " + t.statusAfter
	}
	return text + t.describeDelivery()
}

// describeDelivery describes the connection, the response, and what shows that the request did not run.
func (t attempt) describeDelivery() string {
	var text string
	if t.connection != "" {
		text += "; connection " + t.connection
	}
	if t.response != "" {
		text += "; response " + t.response
	}
	if t.evidence != "" {
		text += "; not run, shown by: " + t.evidence
	}
	return text
}

// withheld reports whether nothing was sent because of what the server had reported: that it is leaving,
// resting or at its rate limit.
func (t attempt) withheld() bool {
	switch errs.Kind(t.result) {
	case errs.KindServerLeaving, errs.KindServerResting, errs.KindServerRateLimit:
		return true
	default:
		return false
	}
}

// isRelay reports whether the request was offered to another host instead of a server.
func (t attempt) isRelay() bool { return t.purpose == "relay" }

// abandoned reports whether the attempt was cancelled because another server answered.
func (t attempt) abandoned() bool { return t.result == "abandoned" }

// failed reports whether the attempt ended without a 2xx or 4xx response.
func (t attempt) failed() bool {
	return !strings.HasPrefix(t.result, "answered/2") && !strings.HasPrefix(t.result, "answered/4")
}

// parseAttempts parses the tries field of a request's line.
func parseAttempts(value string) []attempt {
	var attempts []attempt
	for part := range strings.SplitSeq(value, "; ") {
		words := strings.Fields(part)
		if len(words) < 2 {
			continue
		}
		t := attempt{server: words[0], result: words[1]}
		for _, word := range words[2:] {
			name, text, _ := strings.Cut(word, "=")
			switch name {
			case "took":
				t.took, _ = time.ParseDuration(text) // 0 if an older log lacks it
			case "server":
				t.serverState = text
			case "as":
				t.purpose = text
			case "known":
				t.statusBefore = text
			case "conn":
				t.connection = text
			case "got":
				t.response = text
			case "not-run-by":
				t.evidence = text
			case "said":
				t.statusAfter = text
			case "belief":
				t.belief, _ = strconv.ParseFloat(text, 64) // likewise
			case "load":
				t.load, _ = strconv.ParseFloat(text, 64) // likewise
			}
		}
		attempts = append(attempts, t)
	}
	return attempts
}

// Logs holds the parsed lines of any number of hosts.
type Logs struct {
	requests         []line
	events           []line
	typicalLatencies map[string]time.Duration // by service
}

// Read adds a log. name is the host of lines that have no host name as a prefix.
func (l *Logs) Read(r io.Reader, name string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLineBytes/16), maxLineBytes)
	for scanner.Scan() {
		parsed, ok := parseLine(scanner.Text(), name)
		switch {
		case !ok:
		case parsed.message == "request":
			l.requests = append(l.requests, parsed)
		default:
			l.events = append(l.events, parsed)
		}
	}
	return scanner.Err()
}
