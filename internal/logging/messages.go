package logging

// Messages of lines that package explain reads.
const (
	// OutOfUse and InUse are of a backend server that gets no requests, and again some.
	OutOfUse = "server out of use"
	InUse    = "server in use again"
)
