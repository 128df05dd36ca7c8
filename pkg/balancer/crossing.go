package balancer

import "time"

// ErrOwnDomainFull is an ErrNoSlot of a request that waits for the entry host's failure domain,
// although an upstream of another one may have a free slot. Requests that are queued behind it
// may get that slot.
var ErrOwnDomainFull error = ownDomainFull{}

type ownDomainFull struct{}

func (ownDomainFull) Error() string { return "no free slot in the own failure domain" }

// Unwrap makes the error an ErrNoSlot.
func (ownDomainFull) Unwrap() error { return ErrNoSlot }

// Crossing is the reason why a request goes to another failure domain than that of its entry
// host.
type Crossing uint8

const (
	// NotCrossing means that the upstream is in the entry host's failure domain.
	NotCrossing Crossing = iota
	// DomainEvacuated means that no upstream of the entry host's domain accepts requests.
	DomainEvacuated
	// DomainGone means that all upstreams of the entry host's domain have failed recently.
	DomainGone
	// NoRoom means that no upstream of the entry host's domain was found acceptable.
	NoRoom
)

// CrossingPicker is a Picker that prefers the upstreams of the entry host's failure domain.
type CrossingPicker interface {
	Picker
	// Crossing returns why a request that goes to u crosses failure domains, if it does. The
	// goroutines that serve requests call it after Pick, and before they query u for its load.
	Crossing(u *Upstream, now time.Time) Crossing
}
