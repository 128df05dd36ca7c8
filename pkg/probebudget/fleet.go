package probebudget

import "time"

// SpendKey identifies the entry host and the upstream of a Spend.
type SpendKey struct {
	// EntryHost is the IP of the entry host.
	EntryHost string
	// Upstream is the ID of the upstream.
	Upstream string
}

// Spend is the budget that one process has spent on one upstream since it started.
type Spend struct {
	// Incarnation orders the processes of one entry host.
	Incarnation uint64
	// Probes counts the probes that may have reached the upstream.
	Probes uint64
	// SlotTime is the slot time charged for them.
	SlotTime time.Duration
}

// Spend returns the counters in the form that entry hosts exchange.
func (c Counters) Spend(incarnation uint64) Spend {
	return Spend{Incarnation: incarnation, Probes: c.Answered + c.Abandoned, SlotTime: c.Spent}
}

// join merges two reports about one process: the newer incarnation wins; within one
// incarnation, the larger counts.
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

// FleetSpend holds the latest known counts of every entry host, for operators. No
// decision depends on it, so it may be stale or incomplete. Reports may be late,
// duplicated and in any order. It must be used by one goroutine at a time.
type FleetSpend struct {
	spends map[SpendKey]Spend
}

// NewFleetSpend returns an empty FleetSpend.
func NewFleetSpend() *FleetSpend { return &FleetSpend{spends: make(map[SpendKey]Spend)} }

// Merge adds one report.
func (f *FleetSpend) Merge(k SpendKey, s Spend) { f.spends[k] = f.spends[k].join(s) }

// ForgetHost removes the counts of an entry host that has left.
func (f *FleetSpend) ForgetHost(entryHost string) {
	for k := range f.spends {
		if k.EntryHost == entryHost {
			delete(f.spends, k)
		}
	}
}

// Total returns the sum of what all known processes have spent on an upstream.
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
