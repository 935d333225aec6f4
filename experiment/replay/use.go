package replay

import "time"

// The users' rule on servers in use holds while more than leastUnserved and less than
// mostUnserved of a service's requests are not served: then more than mostUnused of the sound
// servers must not be out of use.
const (
	leastUnserved = 0.1
	mostUnserved  = 0.5
	mostUnused    = 0.3
)

// InTrouble is how many of a service's sound servers were in use while many of its requests
// were not served.
type InTrouble struct {
	// Moments were looked at, at Broken of them too many servers were out of use.
	Moments, Broken int
	// Worst is the largest part of the sound servers that was out of use at one.
	Worst float64

	ends []ended // of the last window
}

// ended is a request that has ended.
type ended struct {
	at       time.Duration
	unserved bool
}

func (r *Result) use(service string) *InTrouble {
	u, known := r.Use[service]
	if !known {
		u = &InTrouble{}
		r.Use[service] = u
	}
	return u
}

func (u *InTrouble) ended(now time.Duration, o outcome) {
	u.ends = append(u.ends, ended{now, o != served})
}

// look takes the sound servers at a moment, and those of them out of use.
func (u *InTrouble) look(now time.Duration, sound, unused int) {
	for len(u.ends) > 0 && u.ends[0].at < now-useWindow {
		u.ends = u.ends[1:]
	}
	unserved := 0
	for _, e := range u.ends {
		if e.unserved {
			unserved++
		}
	}
	share := float64(unserved) / float64(max(len(u.ends), 1))
	if share <= leastUnserved || share >= mostUnserved || unused == sound {
		return
	}
	u.Moments++
	out := float64(unused) / float64(sound)
	u.Worst = max(u.Worst, out)
	if out > mostUnused {
		u.Broken++
	}
}

func (u *InTrouble) add(other *InTrouble) {
	u.Moments += other.Moments
	u.Broken += other.Broken
	u.Worst = max(u.Worst, other.Worst)
}
