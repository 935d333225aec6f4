package startup

import "time"

const (
	// treeFanout is the number of hosts that fetch from one that has just started.
	treeFanout = 4
	// treeIdle is the time without a newcomer after which the tree of a data centre is forgotten:
	// the next start is another one.
	treeIdle = 2 * time.Second
	// maxTree bounds the hosts that are remembered per data centre.
	maxTree = 2048
	// sourceTimeout is the time after which a host that still lacks documents is sent to the root,
	// since the host that it was sent to may be gone.
	sourceTimeout = 400 * time.Millisecond
)

// Tree assigns sources to hosts that lack documents, in the order in which they ask: the first of a
// data centre fetch from the host that keeps the tree (the root), each later one from a host that
// asked before it. The root thus sends a bounded number of documents whatever the size of the fleet.
type Tree struct {
	centres map[string]*centre
}

// centre is the tree of one data centre.
type centre struct {
	last   time.Time // time of the latest newcomer
	order  []string
	joined map[string]placed
}

type placed struct {
	at       time.Time
	position int
}

// Source returns the host from which a host should fetch, or "" for the root. direct is the number of
// hosts of the data centre that fetch from the root.
func (t *Tree) Source(now time.Time, dataCentre, host string, direct int) string {
	if t.centres == nil {
		t.centres = make(map[string]*centre)
	}
	c := t.centres[dataCentre]
	if c == nil || now.Sub(c.last) > treeIdle || len(c.order) >= maxTree {
		c = &centre{joined: make(map[string]placed)}
		t.centres[dataCentre] = c
	}
	p, known := c.joined[host]
	if !known {
		p = placed{at: now, position: len(c.order)}
		c.joined[host] = p
		c.order = append(c.order, host)
		c.last = now
	}
	if p.position < direct || now.Sub(p.at) > sourceTimeout {
		return ""
	}
	return c.order[(p.position-direct)/treeFanout]
}
