package limit

// Bounds of a group's adaptive limit on one entry host.
const (
	// FleetSize is the largest number of entry hosts that share a group today.
	FleetSize = 18
	// MinFloor is the smallest limit of a group, in requests in flight.
	MinFloor = 2
	// InitialDivisor divides the group's slots for the limit of a new group.
	InitialDivisor = 4
	// CeilingFactor times the entry host's share of the group's slots is the
	// largest limit. It bounds the harm where upstreams send no reports, and
	// leaves room for load that is spread unevenly over entry hosts.
	CeilingFactor = 4
	// ReportedFactor replaces CeilingFactor where upstreams report their load:
	// the reports shrink the limit, and a host that gets three times its part of
	// the load needs more than four times its part of the slots.
	ReportedFactor = 8
)

// GroupBounds returns the bounds of the limit of a group with the given slots
// on one of hosts entry hosts.
func GroupBounds(slots, hosts int) Bounds {
	floor := max(slots/FleetSize, MinFloor)
	return Bounds{
		Floor:    floor,
		Ceiling:  max(slots*CeilingFactor/hosts, floor),
		Reported: max(slots*ReportedFactor/hosts, floor),
	}
}

// ForGroup returns the limiter of a new group with the given slots on one of
// hosts entry hosts.
func ForGroup(slots, hosts int) *Limiter {
	return New(slots/InitialDivisor, GroupBounds(slots, hosts))
}
