package membership

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// State is what this host believes of a member.
type State uint8

// States, in the order in which news of one incarnation replaces older news.
const (
	// Alive means that nothing speaks against the member.
	Alive State = iota + 1
	// Suspect means that it did not answer and may still refute.
	Suspect
	// Dead means that it did not refute in time, or said that it stopped.
	Dead
)

// String returns the lower-case name of s.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "invalid"
}

// Bounds on one entry. The codec and the core refuse what exceeds them.
const (
	// MaxMetadataBytes bounds Entry.Metadata.
	MaxMetadataBytes = 64
	// MaxFailureDomainBytes bounds Entry.FailureDomain.
	MaxFailureDomainBytes = 32
	// MaxIncarnation bounds Entry.Incarnation; it leaves room to refute.
	MaxIncarnation = 1 << 62
)

// Entry is one piece of news about one member. It is immutable once built;
// Metadata is shared and must not be written to.
type Entry struct {
	// Address is where peers reach the member. It is the member's key.
	Address netip.AddrPort
	// Process identifies the process at Address, drawn at its start. It stays
	// the same for the life of the process and is not ordered by time.
	Process uint64
	// Incarnation orders the news about Address. Only the member raises it.
	Incarnation uint64
	// State is alive, suspect or dead.
	State State
	// Leaving is set by the member itself when it is about to go.
	Leaving bool
	// FailureDomain is where the member runs.
	FailureDomain string
	// Metadata is up to MaxMetadataBytes of the member's own choosing.
	Metadata []byte
}

// Valid reports whether e is within its bounds.
func (e *Entry) Valid() bool {
	return e.Address.IsValid() &&
		!e.Address.Addr().IsUnspecified() &&
		!e.Address.Addr().IsMulticast() &&
		e.Address.Port() != 0 &&
		e.Incarnation < MaxIncarnation &&
		e.State >= Alive && e.State <= Dead &&
		len(e.FailureDomain) <= MaxFailureDomainBytes &&
		len(e.Metadata) <= MaxMetadataBytes
}

// newerThan reports whether e replaces old, which has the same address. It is
// a total order, so that all hosts that saw the same news agree.
func (e *Entry) newerThan(old *Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	if e.Process != old.Process {
		return e.Process > old.Process
	}
	return e.State > old.State
}

// entryOverheadBytes bounds the encoded size of an entry without its domain
// and metadata: 20 address, 9 process, 11 incarnation, 4 state and leaving,
// 4 headers of domain and metadata, 3 header of the entry.
const entryOverheadBytes = 51

// maxBytes bounds the encoded size of e.
func (e *Entry) maxBytes() int {
	return entryOverheadBytes + len(e.FailureDomain) + len(e.Metadata)
}

// addressHash places an address in the hash space that syncs walk over.
func addressHash(a netip.AddrPort) uint64 {
	var b [18]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
	return xxhash.Sum64(b[:])
}

// digest condenses the news in e: the address in the upper half, the version
// in the lower one.
func (e *Entry) digest(hash uint64) uint64 {
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], e.Process)
	binary.BigEndian.PutUint64(b[8:], e.Incarnation)
	b[16] = byte(e.State)
	return hash&^lowerHalf | xxhash.Sum64(b[:])&lowerHalf
}

const lowerHalf = 1<<32 - 1
