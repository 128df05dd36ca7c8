package limit

// Parameters of the bounds of a group's adaptive limit on one entry host.
const (
	// FleetSize is the largest number of entry hosts that currently share a group.
	FleetSize = 18
	// MinFloor is the smallest lower bound of a group's limit, in requests in flight.
	MinFloor = 2
	// InitialDivisor divides a new group's number of slots to get its initial limit.
	InitialDivisor = 4
	// CeilingFactor multiplies the entry host's share of the group's slots to get
	// the upper bound. It bounds the damage if upstreams send no load reports, and
	// leaves room for load that is distributed unevenly over the entry hosts.
	CeilingFactor = 4
	// ReportedFactor replaces CeilingFactor if upstreams send load reports: the
	// reports lower the limit, and a host with three times its share of the load
	// needs more than four times its share of the slots.
	ReportedFactor = 8
)

// GroupBounds returns the bounds of the limit for a group with the given number
// of slots on one of the given number of entry hosts.
func GroupBounds(slots, hosts int) Bounds {
	floor := max(slots/FleetSize, MinFloor)
	return Bounds{
		Floor:           floor,
		Ceiling:         max(slots*CeilingFactor/hosts, floor),
		ReportedCeiling: max(slots*ReportedFactor/hosts, floor),
	}
}

// ForGroup returns a limiter for a new group with the given number of slots on
// one of the given number of entry hosts.
func ForGroup(slots, hosts int) *Limiter {
	return New(slots/InitialDivisor, GroupBounds(slots, hosts))
}
