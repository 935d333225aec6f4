package sharing

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pearshelf/pearshelf/internal/api/peerpb"
)

// loadsPerMessage keeps a datagram below common MTUs, at some 50 bytes each. It is at
// most the bits of a selection.
const loadsPerMessage = 20

// Message is what several hosts are told alike: it is encoded once for all of them.
type Message struct {
	To    []string // addresses
	Loads []*peerpb.BackendLoad
	// Near is set for hosts of this data centre: they are told of all requests, others
	// of failures only, because bytes to them are dear.
	Near bool
}

// Near returns the messages to the hosts of this data centre: what this host does at a
// server goes to those whose subsets hold it, the totals of a service to this host's
// segment. service returns a service's servers, or nil.
func (f *Fleet) Near(loads []*peerpb.BackendLoad, service func(name string) *Service) []Message {
	return messages(loads, true, func(l *peerpb.BackendLoad, add func([]string)) {
		if l.Backend == "" {
			add(f.segment)
		} else if s := service(l.Service); s != nil {
			add(f.Audience(s, l.Backend, f.self.DataCentre))
		}
	})
}

// Far returns the messages to the hosts of the other data centres: failures go to those
// whose subsets hold the server.
func (f *Fleet) Far(failing []*peerpb.BackendLoad, service func(name string) *Service) []Message {
	return messages(failing, false, func(l *peerpb.BackendLoad, add func([]string)) {
		s := service(l.Service)
		if s == nil {
			return
		}
		f.otherDataCentres(func(dataCentre string) { add(f.Audience(s, l.Backend, dataCentre)) })
	})
}

// selection is a set of loads, a bit for each.
type selection uint32

// messages groups receivers by what they are told. receivers calls add with those of a
// load.
func messages(loads []*peerpb.BackendLoad, near bool, receivers func(l *peerpb.BackendLoad, add func([]string))) []Message {
	var all []Message
	for chunk := range slices.Chunk(loads, loadsPerMessage) {
		told := make(map[string]selection)
		for i, l := range chunk {
			receivers(l, func(addresses []string) {
				for _, address := range addresses {
					told[address] |= 1 << i
				}
			})
		}
		all = append(all, group(chunk, told, near)...)
	}
	return all
}

func group(loads []*peerpb.BackendLoad, told map[string]selection, near bool) []Message {
	to := make(map[selection][]string)
	for _, address := range slices.Sorted(maps.Keys(told)) {
		to[told[address]] = append(to[told[address]], address)
	}
	var all []Message
	for _, chosen := range slices.SortedFunc(maps.Keys(to), cmp.Compare) {
		all = append(all, Message{To: to[chosen], Loads: chosen.of(loads), Near: near})
	}
	return all
}

// of returns the selected loads.
func (s selection) of(loads []*peerpb.BackendLoad) []*peerpb.BackendLoad {
	var chosen []*peerpb.BackendLoad
	for i, l := range loads {
		if s&(1<<i) != 0 {
			chosen = append(chosen, l)
		}
	}
	return chosen
}
