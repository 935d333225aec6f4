package logging

// Messages of log lines that package explain parses.
const (
	// OutOfUse and InUse are logged when a backend server stops receiving
	// requests and when it receives requests again.
	OutOfUse = "server out of use"
	InUse    = "server in use again"
	// CrossZoneBytes is logged with the bytes that a host exchanged with other data centres.
	CrossZoneBytes = "bytes to other data centres"
)
