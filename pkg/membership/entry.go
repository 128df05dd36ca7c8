package membership

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as seen by this host.
type State uint8

// States. Within one incarnation a later one in this list replaces an earlier one.
const (
	// Alive means that no failure of the member is known.
	Alive State = iota + 1
	// Suspect means that it did not respond to a probe and may still refute.
	Suspect
	// Dead means that it did not refute in time, or announced that it stopped.
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

// Limits of one entry. The codec and the core reject entries that exceed them.
const (
	// MaxMetadataBytes is the maximum length of Entry.Metadata.
	MaxMetadataBytes = 64
	// MaxFailureDomainBytes is the maximum length of Entry.FailureDomain.
	MaxFailureDomainBytes = 32
	// MaxIncarnation is the exclusive upper bound of Entry.Incarnation; it leaves
	// higher values for refutations.
	MaxIncarnation = 1 << 62
)

// Entry is the state of one member at one incarnation. It is immutable once
// built; Metadata is shared and must not be modified.
type Entry struct {
	// Address is the address at which peers reach the member, and its key.
	Address netip.AddrPort
	// Process identifies the process at Address. It is chosen at random at start,
	// constant for the lifetime of the process and not ordered by time.
	Process uint64
	// Incarnation orders the entries of Address. Only the member increases it.
	Incarnation uint64
	// State is alive, suspect or dead.
	State State
	// Leaving is set by the member itself when it is about to leave.
	Leaving bool
	// FailureDomain is the failure domain of the member.
	FailureDomain string
	// Metadata is up to MaxMetadataBytes set by the member.
	Metadata []byte
}

// Valid reports whether e is well-formed and within its limits.
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
// a total order, so that all hosts that received the same updates agree.
func (e *Entry) newerThan(old *Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	if e.Process != old.Process {
		return e.Process > old.Process
	}
	return e.State > old.State
}

// entryOverheadBytes is the maximum encoded size of an entry without its domain
// and metadata: 20 address, 9 process, 11 incarnation, 4 state and leaving,
// 4 headers of domain and metadata, 3 header of the entry.
const entryOverheadBytes = 51

// maxBytes returns an upper bound of the encoded size of e.
func (e *Entry) maxBytes() int {
	return entryOverheadBytes + len(e.FailureDomain) + len(e.Metadata)
}

// addressHash returns the position of an address in the hash space of syncs.
func addressHash(a netip.AddrPort) uint64 {
	var b [18]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
	return xxhash.Sum64(b[:])
}

// digest returns a digest of e: the address hash in the upper half, a hash of
// the version in the lower half.
func (e *Entry) digest(hash uint64) uint64 {
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], e.Process)
	binary.BigEndian.PutUint64(b[8:], e.Incarnation)
	b[16] = byte(e.State)
	return hash&^lowerHalf | xxhash.Sum64(b[:])&lowerHalf
}

const lowerHalf = 1<<32 - 1
