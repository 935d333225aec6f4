package logging

// Messages of log lines that package explain parses.
const (
	// OutOfUse and InUse are logged when a backend server stops receiving
	// requests and when it receives requests again.
	OutOfUse = "server out of use"
	InUse    = "server in use again"
)
