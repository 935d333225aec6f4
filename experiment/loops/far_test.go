package loops

import (
	"fmt"
	"testing"
	"time"

	"github.com/pearshelf/pearshelf/internal/world"
)

const (
	// rowBytes is the size of a member or register in a message, callBytes that of a call without it.
	rowBytes  = 90
	callBytes = 2*sizeOfCall + 200
)

func threeCentres(hosts int, seed uint64) *Fleet {
	return New(Config{
		Hosts: hosts, DataCentres: 3, Near: 200 * time.Microsecond, Far: 1400 * time.Microsecond,
		StartWithin: 300 * time.Millisecond, Loss: 0.002, Seed: seed,
		Documents: map[string][]byte{world.KeyPublished: []byte("services: []\n"), world.KeyDiscovered: manyServers(231, 0)},
	})
}

// When 120 hosts of three data centres start, each kind of traffic between them stays within what the
// design needs: hellos to three known hosts and their answers; two hosts of a data centre that compare
// their state with another one, twice; two that fetch a document by way of each known host. All
// compared with the known hosts and fetched from the one that announced: 1.1 MB of comparisons and
// 0.1 MB of documents, 1.4 MB in all.
func TestStartBetweenDataCentres(t *testing.T) {
	const hosts, centres, rounds = 120, 3, 2
	for seed := range uint64(3) {
		f := threeCentres(hosts, 20+seed)
		f.Run(2500 * time.Millisecond)
		sent := f.Sent()
		t.Logf("seed %d: %d kB between data centres: %v", seed, sent.FarBytes/1000, sent.Far)
		if ready := f.Ready(); ready != hosts {
			t.Errorf("seed %d: %d of %d hosts are ready", seed, ready, hosts)
		}
		// Twice the comparers: hosts that know few others for a moment take themselves for one.
		comparisons := 2 * centres * 2 * rounds * (2*hosts*rowBytes + callBytes)
		documents := centres * 2 * seeds * (len(manyServers(231, 0))/4 + callBytes)
		for kind, most := range map[string]int{
			"hello":      hosts * seeds * 3 * 120,
			"welcome":    hosts * seeds * 3 * 600,
			"comparison": comparisons,
			"document":   documents,
		} {
			if sent.Far[kind] > most {
				t.Errorf("seed %d: %d bytes of kind %s, at most %d", seed, sent.Far[kind], kind, most)
			}
		}
		if most := hosts * 7000; sent.FarBytes > most {
			t.Errorf("seed %d: %d bytes in all, at most %d", seed, sent.FarBytes, most)
		}
		rest := f.Sent().FarBytes
		f.Run(10 * time.Second)
		perSecond := float64(f.Sent().FarBytes-rest) / 10 / hosts
		if perSecond > 60 { // a probe a second, two in three to another data centre, and its answer
			t.Errorf("seed %d: at rest a host sends %.0f bytes a second to other data centres", seed, perSecond)
		}
	}
}

// The hosts of a data centre that fetch the documents from another one die halfway: the others get the
// documents by way of the next, and still few fetch from there.
func TestFetcherDiesHalfway(t *testing.T) {
	f := threeCentres(120, 30)
	f.Run(5 * time.Second)
	for _, h := range f.Hosts() {
		h.Stop()
		h.TurnedAway = h.dataCentre == 2
	}
	f.Run(time.Second)
	// The known host of the data centre does not come back, and nobody there reads the platform.
	before := f.Sent().Far["document"]
	begin := f.Now()
	for _, h := range f.Hosts() {
		if h.number == 2 {
			continue
		}
		f.clock.After(time.Duration(f.random.Float64()*float64(100*time.Millisecond)), h.Start)
	}
	killed := 0
	for range 300 {
		f.Run(time.Millisecond)
		for _, h := range f.Hosts() {
			if killed < 2 && h.dataCentre == 2 && h.Running() && h.asksFar {
				h.Stop()
				killed++
			}
		}
	}
	running := 120 - 1 - killed
	f.RunUntil(5*time.Second, 10*time.Millisecond, func() bool { return f.Ready() == running })
	t.Logf("%d fetchers killed, %d of %d ready after %s, %d bytes of documents between data centres", killed, f.Ready(), running, f.Now()-begin, f.Sent().Far["document"]-before)
	if killed != 2 || f.Ready() != running || f.Now()-begin > 2500*time.Millisecond {
		t.Errorf("%d killed, %d of %d hosts are ready after %s", killed, f.Ready(), running, f.Now()-begin)
	}
	document := len(manyServers(231, 0))/4 + callBytes
	if got := f.Sent().Far["document"] - before; got > 40*document {
		t.Error(fmt.Sprint(got, " bytes of documents between data centres"))
	}
}
