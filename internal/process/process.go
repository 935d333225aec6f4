// Package process identifies processes of backend servers. A server may restart under the same
// ID, and reports of one process do not apply to the next.
package process

import "strings"

// Server identifies one process of a backend server.
type Server struct {
	Service string
	ID      string
	// Started is the start time of the process in Unix milliseconds, 0 if unknown.
	Started int64
}

// Key identifies a server across restarts.
type Key struct{ Service, ID string }

// Key returns the key of the server that the process belongs to.
func (s Server) Key() Key { return Key{s.Service, s.ID} }

// String formats the key as service/ID.
func (k Key) String() string { return k.Service + "/" + k.ID }

// ParseKey parses the output of String. Service names contain no slash.
func ParseKey(text string) (key Key, ok bool) {
	service, id, ok := strings.Cut(text, "/")
	return Key{Service: service, ID: id}, ok && id != ""
}

// IsNewerThan reports whether s started later than other, a process of the same server. It
// returns false if either start time is unknown.
func (s Server) IsNewerThan(other Server) bool {
	return s.Started > other.Started && other.Started != 0
}
