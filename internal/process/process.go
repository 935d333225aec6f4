// Package process names processes of backend servers. A server may start again under its ID,
// and what one process has said says nothing of the next.
package process

import "strings"

// Server is one process of a backend server.
type Server struct {
	Service string
	ID      string
	// Started is when the process started, in Unix milliseconds, 0 if not known.
	Started int64
}

// Key names a server whatever its process.
type Key struct{ Service, ID string }

// Key returns the server without its process.
func (s Server) Key() Key { return Key{s.Service, s.ID} }

// String names the server as service/ID.
func (k Key) String() string { return k.Service + "/" + k.ID }

// ParseKey reads what String gives. Names of services have no slash.
func ParseKey(text string) (key Key, ok bool) {
	service, id, ok := strings.Cut(text, "/")
	return Key{Service: service, ID: id}, ok && id != ""
}

// IsNewerThan reports whether a process is a later one than another of the same server. Starts
// that are not known tell nothing.
func (s Server) IsNewerThan(other Server) bool {
	return s.Started > other.Started && other.Started != 0
}
