package policy

import "time"

// windowBuckets is the number of buckets that a window is divided into.
const windowBuckets = 20

// window counts the events of a sliding period in buckets.
type window struct {
	counts [windowBuckets + 1]int
	start  time.Time // time of the first event; bucket numbers are relative to it
	bucket int64     // number of the newest bucket since start
}

func (w *window) add(now time.Time, length time.Duration, n int) {
	w.advance(now, length)
	w.counts[w.bucket%int64(len(w.counts))] += n
}

func (w *window) sum(now time.Time, length time.Duration) int {
	return w.newest(now, length, len(w.counts))
}

// newest sums the newest n buckets, including the one that is being filled.
func (w *window) newest(now time.Time, length time.Duration, n int) int {
	w.advance(now, length)
	size := int64(len(w.counts))
	total := 0
	for b := w.bucket; b > w.bucket-int64(n) && b >= 0; b-- {
		total += w.counts[b%size]
	}
	return total
}

// advance clears the buckets that started since the last call.
func (w *window) advance(now time.Time, length time.Duration) {
	if w.start.IsZero() {
		w.start = now
	}
	bucket := int64(now.Sub(w.start) / (length / windowBuckets))
	size := int64(len(w.counts))
	for b := max(w.bucket+1, bucket-size+1); b <= bucket; b++ {
		w.counts[b%size] = 0
	}
	w.bucket = max(w.bucket, bucket)
}
