package clientlimit

const (
	// maxFiles is the number of descriptors that are kept for files, or filesFraction of a small limit.
	maxFiles      = 200
	filesFraction = 4
	// callerShare and peerShare are the shares of the other descriptors for connections of callers and of other
	// hosts. What is left is for connections that the host itself opens.
	callerShare = 0.4
	peerShare   = 0.2
	// idleShare is the share for idle connections to backend servers and hosts.
	idleShare = 0.15
	// maxToolConns is the number of connections for readiness checks, and for operators.
	maxToolConns = 32
	toolShare    = 0.04
)

// Shares is how many connections of each kind a process may have open.
type Shares struct {
	// Callers, Peers, Readiness and Operators are accepted connections, Idle kept connections to servers.
	Callers, Peers, Readiness, Operators, Idle int
}

// SharesOf divides the descriptors of a process.
func SharesOf(descriptors int) Shares {
	sockets := float64(descriptors - min(maxFiles, descriptors/filesFraction))
	tools := max(1, min(maxToolConns, int(toolShare*sockets)))
	return Shares{
		Callers:   max(1, int(callerShare*sockets)),
		Peers:     max(1, int(peerShare*sockets)),
		Readiness: tools,
		Operators: tools,
		Idle:      max(1, int(idleShare*sockets)),
	}
}
