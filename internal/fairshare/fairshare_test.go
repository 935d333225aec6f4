package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const rounding = 1e-9

// No customer gets less than its guaranteed part or more than it requests, and no capacity is
// left while a request is open: otherwise one customer's surge takes what others are owed.
func TestDivideIsMaxMinFair(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		demands := make([]Demand, 1+random.IntN(100))
		for i := range demands {
			demands[i] = Demand{Weight: math.Floor(random.Float64() * 50), Amount: random.ExpFloat64() * 20}
		}
		capacity := random.Float64() * 3000
		weights, all, total, asked := effectiveWeights(demands), 0.0, 0.0, 0.0
		for i, d := range demands {
			all += weights[i]
			asked += d.Amount
		}
		parts := Divide(capacity, demands)
		level := math.Inf(1) // the lowest level of an unsatisfied customer
		for i, d := range demands {
			total += parts[i]
			guaranteed := math.Min(d.Amount, capacity*weights[i]/all)
			if parts[i] < guaranteed*(1-rounding) || parts[i] > d.Amount {
				t.Fatalf("a customer gets %g of %g, guaranteed are %g", parts[i], d.Amount, guaranteed)
			}
			if parts[i] < d.Amount*(1-rounding) {
				level = math.Min(level, parts[i]/weights[i])
			}
		}
		for i := range demands {
			if parts[i]/weights[i] > level*(1+1e-6) {
				t.Fatalf("a customer has level %g, another that wants more has %g", parts[i]/weights[i], level)
			}
		}
		if math.Abs(total-math.Min(capacity, asked)) > 1e-6 {
			t.Fatalf("%g of %g divided, %g requested", total, capacity, asked)
		}
	}
}

// If the customer with the lowest rank is always served first, each gets its guaranteed part
// within a tenth, although a fifth of the reports between hosts are lost: lost reports may delay
// fairness, not end it. Nobody is starved.
func TestServiceByRankIsFairDespiteLostReports(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		random := rand.New(rand.NewPCG(seed, 3))
		const hosts, slots = 8, 10 // of each host in 100 ms
		ledgers := make([]*Ledger, hosts)
		for h := range ledgers {
			ledgers[h] = NewLedger()
		}
		loads := []float64{1, 2, 4, 8, 16, 30} // of each host in 100 ms
		weights := []float64{0, 4, 4, 4, 4, 4}
		served := make([]float64, len(loads))
		name := func(c int) string { return fmt.Sprint("customer-", c) }
		now := time.Unix(1e9, 0)
		const rounds = 300
		for round := range rounds {
			now = now.Add(100 * time.Millisecond)
			for h, l := range ledgers {
				waiting := make([]int, len(loads))
				for c, load := range loads {
					waiting[c] = int(load)
					for range waiting[c] {
						l.Request(now, name(c), weights[c])
					}
				}
				for range slots {
					best, rank := -1, math.Inf(1)
					for _, c := range random.Perm(len(loads)) {
						if r := l.Rank(now, name(c)); waiting[c] > 0 && r < rank {
							best, rank = c, r
						}
					}
					if best >= 0 {
						waiting[best]--
						l.Serve(now, name(best))
						if round >= rounds/3 {
							served[best]++
						}
					}
				}
				if round%10 != h%10 {
					continue
				}
				counts := l.Counts()
				for other, peer := range ledgers {
					if other != h && random.IntN(5) > 0 {
						peer.Report(now, fmt.Sprint("host-", h), counts)
					}
				}
			}
		}
		capacity := float64(slots * hosts * rounds * 2 / 3)
		for c, load := range loads {
			guaranteed := math.Min(load*hosts*rounds*2/3, capacity/float64(len(loads)))
			if served[c] < 0.9*guaranteed {
				t.Errorf("seed %d: customer %d was served %.0f times, guaranteed are %.0f", seed, c, served[c], guaranteed)
			}
		}
	}
}

// A host that restarts counts from zero; its counts must neither be taken twice nor go negative.
func TestReportsOfRestartedHost(t *testing.T) {
	l, now := NewLedger(), time.Unix(1e9, 0)
	l.Report(now, "h2", []Count{{Customer: "a", Requested: 100, Served: 90}})
	l.Report(now, "h2", []Count{{Customer: "a", Requested: 110, Served: 95}})
	l.ForgetHost("h2")
	l.Report(now, "h2", []Count{{Customer: "a", Requested: 3, Served: 2}})
	l.Report(now, "h2", []Count{{Customer: "a", Requested: 5, Served: 3}})
	if e := l.customers["a"]; e.requested != 12 || e.served != 6 {
		t.Errorf("requested %g, served %g, want 12 and 6", e.requested, e.served)
	}
}
