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

	// receiveFraction is the fraction of the host's memory that may hold bytes which connections have received
	// and the process has not read.
	receiveFraction = 0.25
	// backlogShare is the number of connections that may wait to be accepted, as a share of those that a listener may
	// have open, and minBacklog the number for a listener with few of them.
	backlogShare = 0.25
	minBacklog   = 128
	// minClients is the number of callers, and of other hosts, that may connect however little the memory is.
	minClients = 64
	// minReceiveBuffer and maxReceiveBuffer bound the part of one connection. A smaller one would slow uploads down
	// even over a short distance; a larger one exceeds what a connection can use.
	minReceiveBuffer = 16 << 10
	maxReceiveBuffer = 4 << 20
)

// Shares is how many connections of each kind a process may have open, and how much each may hold.
type Shares struct {
	// Callers, Peers, Readiness and Operators are accepted connections, Idle kept connections to servers.
	Callers, Peers, Readiness, Operators, Idle int
	// ReceiveBuffer is how many bytes the kernel may hold for each accepted connection until the process reads them,
	// and how many that it has written may wait to be sent. It is 0 for the kernel's defaults, which grow with the
	// speed of the sender.
	ReceiveBuffer int
}

// SharesOf divides the descriptors of a process and the memory of its host, which is unknown if it is 0. If the memory
// does not suffice for as many connections as the descriptors, callers and other hosts get fewer.
func SharesOf(descriptors int, hostBytes int64) Shares {
	sockets := float64(descriptors - min(maxFiles, descriptors/filesFraction))
	tools := max(1, min(maxToolConns, int(toolShare*sockets)))
	s := Shares{
		Callers:   max(1, int(callerShare*sockets)),
		Peers:     max(1, int(peerShare*sockets)),
		Readiness: tools,
		Operators: tools,
		Idle:      max(1, int(idleShare*sockets)),
	}
	if hostBytes > 0 {
		s.fit(receiveFraction * float64(hostBytes))
	}
	return s
}

// fit divides bytes among connections that are accepted or wait for it.
func (s *Shares) fit(bytes float64) {
	most := bytes / minReceiveBuffer
	if float64(s.sockets()) > most {
		tools := s.Readiness + s.Operators + 2*minBacklog
		left := most - float64(tools) - 2*minBacklog // for callers and peers: a backlog is at most minBacklog and a share
		fraction := max(left, 0) / (1 + backlogShare) / float64(s.Callers+s.Peers)
		s.Callers = max(min(s.Callers, minClients), int(fraction*float64(s.Callers)))
		s.Peers = max(min(s.Peers, minClients), int(fraction*float64(s.Peers)))
	}
	s.ReceiveBuffer = min(max(int(bytes)/s.sockets(), minReceiveBuffer), maxReceiveBuffer)
}

// sockets returns how many connections are accepted or wait for it at most.
func (s *Shares) sockets() int {
	n := 0
	for _, conns := range []int{s.Callers, s.Peers, s.Readiness, s.Operators} {
		n += conns + backlogOf(conns)
	}
	return n
}
