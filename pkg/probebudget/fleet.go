package probebudget

import "time"

// SpendKey names the process and the upstream that a count belongs to.
type SpendKey struct {
	// EntryHost is the IP of the entry host.
	EntryHost string
	// Upstream is the id of the upstream.
	Upstream string
}

// Spend is what one process spent on one upstream since it started.
type Spend struct {
	// Incarnation orders the processes of one entry host.
	Incarnation uint64
	// Probes counts the probes that may have reached the upstream.
	Probes uint64
	// SlotTime is what they were charged.
	SlotTime time.Duration
}

// Spend returns the counts in the form that entry hosts exchange.
func (c Counters) Spend(incarnation uint64) Spend {
	return Spend{Incarnation: incarnation, Probes: c.Answered + c.Abandoned, SlotTime: c.Spent}
}

// join returns the later of two reports about one process: the newer
// incarnation, then the larger counts.
func (s Spend) join(o Spend) Spend {
	if s.Incarnation != o.Incarnation {
		if s.Incarnation > o.Incarnation {
			return s
		}
		return o
	}
	s.Probes = max(s.Probes, o.Probes)
	s.SlotTime = max(s.SlotTime, o.SlotTime)
	return s
}

// FleetSpend holds the latest known counts of every entry host, for operators.
// Nothing is decided by it: it may lag and miss hosts without harm. Reports
// may come late, twice and in any order. It belongs to one goroutine.
type FleetSpend struct {
	spends map[SpendKey]Spend
}

// NewFleetSpend returns empty counts.
func NewFleetSpend() *FleetSpend { return &FleetSpend{spends: make(map[SpendKey]Spend)} }

// Merge takes in one report.
func (f *FleetSpend) Merge(k SpendKey, s Spend) { f.spends[k] = f.spends[k].join(s) }

// ForgetHost drops the counts of an entry host that left.
func (f *FleetSpend) ForgetHost(entryHost string) {
	for k := range f.spends {
		if k.EntryHost == entryHost {
			delete(f.spends, k)
		}
	}
}

// Total sums what all known processes spent on an upstream.
func (f *FleetSpend) Total(upstream string) Spend {
	var sum Spend
	for k, s := range f.spends {
		if k.Upstream != upstream {
			continue
		}
		sum.Probes += s.Probes
		sum.SlotTime += s.SlotTime
	}
	return sum
}
