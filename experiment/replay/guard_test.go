package replay

import "testing"

// playDeadly sums plays of the pattern in which eight contents end the servers that run them.
func playDeadly(t *testing.T, conf Config) *Result {
	t.Helper()
	_, sum, err := sumSeeds("deadly", deadlySeeds, conf)
	if err != nil {
		t.Fatal(err)
	}
	return sum
}

// deadlySeeds is how often the pattern is played.
const deadlySeeds = 4

// A content that ends three servers ends no more than what is under way to others by then.
func TestRequestsThatEndServersAreRefused(t *testing.T) {
	t.Parallel()
	const most = 5
	if got := playDeadly(t, Config{Seed: 1}).Ended; got.Most > most {
		t.Errorf("one content ended %d servers", got.Most)
	}
	if got := playDeadly(t, Config{Seed: 1, WithoutQuarantine: true}).Ended; got.Most < 2*most {
		t.Errorf("one content ended %d servers without the quarantine", got.Most)
	}
}

// Reads that come twice a second stood at three servers that other requests ended, and were
// refused for half a minute, though they had been answered in between at other hosts.
func TestRequestsBesideThoseThatEndServersAreServed(t *testing.T) {
	t.Parallel()
	got := playDeadly(t, Config{Seed: 1})
	asked := got.Total().Asked
	if got.Ended.Innocent*2000 > asked {
		t.Errorf("%d of %d requests refused that did nothing wrong", got.Ended.Innocent, asked)
	}
}
