package poison

import (
	"slices"
	"time"
)

// EvidenceCrashes is the largest number of crashes that tell another host to refuse a request. A
// quarantine takes MinCrashes; its duration depends on the last ones.
const EvidenceCrashes = MinCrashes + 1

// Evidence returns, for each request that is refused, crashes that make a host refuse it which knows
// nothing else about it.
func (t *Table) Evidence(now time.Time) [][]Crash {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out [][]Crash
	for _, s := range t.suspects {
		if now.Before(t.anyCallerUntil(now, s)) {
			out = append(out, evidenceOf(s.since))
			continue
		}
		for _, f := range s.callers() {
			if !t.refusedUntil(now, f).IsZero() {
				out = append(out, evidenceOf(distinct(s.ofCaller(f.Caller))))
			}
		}
	}
	return out
}

// evidenceOf returns the first crash, which shows that the others came after it, and the last ones.
func evidenceOf(crashes []Crash) []Crash {
	if len(crashes) <= EvidenceCrashes {
		return slices.Clone(crashes)
	}
	return append([]Crash{crashes[0]}, crashes[len(crashes)-EvidenceCrashes+1:]...)
}

// callers returns the request of each caller under whose requests upstreams crashed.
func (s *suspect) callers() []Fingerprint {
	var out []Fingerprint
	for _, c := range s.crashes {
		if !slices.Contains(out, c.Request) {
			out = append(out, c.Request)
		}
	}
	return out
}
