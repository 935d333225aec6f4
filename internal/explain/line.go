// Package explain finds out from the logs of a fleet what became of a request,
// and why. It reads the lines that pearshelfd writes and nothing else.
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

// maxLineBytes bounds a line; longer ones end the reading of a log.
const maxLineBytes = 1 << 20

// header is klog's: severity and date, time, process, place. A log that was
// gathered from many hosts may have the host's name before it.
var (
	header = regexp.MustCompile(`^(.*?)\b[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) +\d+ [^\]]+\] "((?:[^"\\]|\\.)*)"(.*)$`)
	field  = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

const timeLayout = "0102 15:04:05.000000" // klog gives no year

// line is one decision that a host logged.
type line struct {
	at      time.Time
	host    string // from the prefix or the log's name
	message string
	fields  map[string]string
}

// parseLine reads a line of a host's log; ok is false for any other text.
func parseLine(text, host string) (l line, ok bool) {
	m := header.FindStringSubmatch(text)
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
	for _, f := range field.FindAllStringSubmatch(m[4], -1) {
		l.fields[f[1]] = unquote(f[2])
	}
	return l, true
}

// missed is how many lines of its kind the host left out before this one, 0 where an older log
// does not tell.
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

// try is one send of a request to a backend server, as its line tells it.
type try struct {
	server string
	result string // such as answered/500, not-run/503, dial-failed
	took   time.Duration
	belief float64 // that the server was failing, when it was picked
	load   float64 // requests that it had then
	fate   string  // of a server whose connection broke: alive, ended or unknown
	as     string  // why it was sent after the first send, empty for that one
	known  string  // what it had said of itself before it was picked, empty for nothing
	said   string  // what it said of itself with its answer, empty for nothing
}

// step tells the try in one line.
func (t try) step() string {
	send := "server"
	if t.as != "" {
		send = t.as + " to server"
	}
	text := fmt.Sprintf("%s %s, %s after %s; when picked: belief that it fails %.2f, %.1f requests there", send, t.server, t.result, t.took, t.belief, t.load)
	if t.known != "" {
		text += ", " + t.known
	}
	if t.said != "" {
		text += "; it said with its answer: " + t.said
	}
	return text
}

// withheld reports whether no byte was sent, because of what the server had said of itself.
func (t try) withheld() bool {
	switch errs.Kind(t.result) {
	case errs.KindLeaving, errs.KindResting, errs.KindNoRoom:
		return true
	default:
		return false
	}
}

// abandoned reports whether the try was given up because another server answered.
func (t try) abandoned() bool { return t.result == "abandoned" }

// failed reports whether the try brought no good answer.
func (t try) failed() bool {
	return !strings.HasPrefix(t.result, "answered/2") && !strings.HasPrefix(t.result, "answered/4")
}

// parseTries reads the field of a request's line.
func parseTries(value string) []try {
	var tries []try
	for part := range strings.SplitSeq(value, "; ") {
		words := strings.Fields(part)
		if len(words) < 2 {
			continue
		}
		t := try{server: words[0], result: words[1]}
		for _, word := range words[2:] {
			name, text, _ := strings.Cut(word, "=")
			switch name {
			case "took":
				t.took, _ = time.ParseDuration(text) // 0 where an older log has none
			case "server":
				t.fate = text
			case "as":
				t.as = text
			case "known":
				t.known = text
			case "said":
				t.said = text
			case "belief":
				t.belief, _ = strconv.ParseFloat(text, 64) // likewise
			case "load":
				t.load, _ = strconv.ParseFloat(text, 64) // likewise
			}
		}
		tries = append(tries, t)
	}
	return tries
}

// Logs are the lines of many hosts.
type Logs struct {
	requests []line
	events   []line
	usual    map[string]time.Duration // by service
}

// Read adds a host's log. name is used where lines do not name their host.
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
