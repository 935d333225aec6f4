package sharing

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// loadsPerMessage keeps a datagram below common MTUs, at about 50 bytes per load. It must not
// exceed the number of bits of a selection.
const loadsPerMessage = 20

// Message contains loads that several hosts receive alike. It is encoded once for all of them.
type Message struct {
	To    []string // addresses
	Loads []*peerpb.BackendLoad
	// Local is set for receivers in this data centre. They receive reports of all requests, other
	// hosts only of failures, because traffic between data centres is expensive.
	Local bool
}

// Local returns the messages to hosts of this data centre. The load of this host on a server goes
// to the hosts whose subsets contain the server, the totals of a service to this host's segment.
// service returns the servers of a service, or nil.
func (f *Fleet) Local(loads []*peerpb.BackendLoad, service func(name string) *Service) []Message {
	return groupMessages(loads, true, func(l *peerpb.BackendLoad, add func([]string)) {
		if l.Backend == "" {
			add(f.segment)
		} else if s := service(l.Service); s != nil {
			add(f.Recipients(s, l.Backend, f.self.DataCentre))
		}
	})
}

// Remote returns the messages to hosts of other data centres. Failures go to the hosts whose subsets
// contain the server.
func (f *Fleet) Remote(failing []*peerpb.BackendLoad, service func(name string) *Service) []Message {
	f.nameSegment(failing)
	return groupMessages(failing, false, func(l *peerpb.BackendLoad, add func([]string)) {
		s := service(l.Service)
		if s == nil {
			return
		}
		f.forEachRemoteDataCentre(func(dataCentre string) { add(f.Recipients(s, l.Backend, dataCentre)) })
	})
}

// nameSegment adds this host's segment to reports for other data centres.
func (f *Fleet) nameSegment(failing []*peerpb.BackendLoad) {
	for _, l := range failing {
		l.Segment = f.segmentID
	}
}

// RemoteByRelay returns the same reports as Remote, but sends them to one host of each remote data centre
// that uses the server, which passes them on to the others there. turn selects it, so that successive
// reports, which contain the counts of earlier ones, do not all depend on one host. Data centres without
// a host that passes reports on, or with a single receiver, get direct messages.
func (f *Fleet) RemoteByRelay(failing []*peerpb.BackendLoad, service func(name string) *Service, turn int) (relayed, direct []Message) {
	receivers := func(l *peerpb.BackendLoad, add func(relay bool, addresses []string)) {
		s := service(l.Service)
		if s == nil {
			return
		}
		f.forEachRemoteDataCentre(func(dataCentre string) {
			all := f.Recipients(s, l.Backend, dataCentre)
			var relays []string
			for _, address := range all {
				if f.relays[address] {
					relays = append(relays, address)
				}
			}
			if len(all) <= 1 || len(relays) == 0 {
				add(false, all)
				return
			}
			add(true, []string{relays[turn%len(relays)]})
		})
	}
	f.nameSegment(failing)
	only := func(want bool) []Message {
		return groupMessages(failing, false, func(l *peerpb.BackendLoad, add func([]string)) {
			receivers(l, func(relay bool, addresses []string) {
				if relay == want {
					add(addresses)
				}
			})
		})
	}
	return only(true), only(false)
}

// selection is a set of loads, one bit for each.
type selection uint32

// groupMessages groups receivers by the loads that they receive. The function receivers calls add
// with the receivers of a load.
func groupMessages(loads []*peerpb.BackendLoad, local bool, receivers func(l *peerpb.BackendLoad, add func([]string))) []Message {
	var all []Message
	for chunk := range slices.Chunk(loads, loadsPerMessage) {
		selections := make(map[string]selection)
		for i, l := range chunk {
			receivers(l, func(addresses []string) {
				for _, address := range addresses {
					selections[address] |= 1 << i
				}
			})
		}
		all = append(all, groupBySelection(chunk, selections, local)...)
	}
	return all
}

// groupBySelection returns one message for each distinct selection, given by address.
func groupBySelection(loads []*peerpb.BackendLoad, selections map[string]selection, local bool) []Message {
	receivers := make(map[selection][]string)
	for _, address := range slices.Sorted(maps.Keys(selections)) {
		receivers[selections[address]] = append(receivers[selections[address]], address)
	}
	var all []Message
	for _, chosen := range slices.SortedFunc(maps.Keys(receivers), cmp.Compare) {
		all = append(all, Message{To: receivers[chosen], Loads: chosen.selected(loads), Local: local})
	}
	return all
}

// selected returns the loads in the selection.
func (s selection) selected(loads []*peerpb.BackendLoad) []*peerpb.BackendLoad {
	var chosen []*peerpb.BackendLoad
	for i, l := range loads {
		if s&(1<<i) != 0 {
			chosen = append(chosen, l)
		}
	}
	return chosen
}
