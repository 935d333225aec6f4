package policy

import "time"

// windowBuckets divide a window.
const windowBuckets = 20

// window counts events of the last Window in buckets.
type window struct {
	counts [windowBuckets + 1]int
	start  time.Time // of the first event; the steady clock counts from there
	bucket int64     // number of the newest bucket since start
}

func (w *window) add(now time.Time, length time.Duration, n int) {
	w.advance(now, length)
	w.counts[w.bucket%int64(len(w.counts))] += n
}

func (w *window) sum(now time.Time, length time.Duration) int {
	return w.newest(now, length, len(w.counts))
}

// newest sums the newest n buckets, the one that is being filled included.
func (w *window) newest(now time.Time, length time.Duration, n int) int {
	w.advance(now, length)
	size := int64(len(w.counts))
	total := 0
	for b := w.bucket; b > w.bucket-int64(n) && b >= 0; b-- {
		total += w.counts[b%size]
	}
	return total
}

// advance clears the buckets that began since the last call.
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
