package configsync

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// WatermarkBytes is the size of an encoded Watermark, in bytes.
const WatermarkBytes = 18

const watermarkFormat = 1

// Watermark is the replication progress that a host publishes in its membership
// metadata, so that operators can see which hosts lag.
type Watermark struct {
	// Frontier is the revision up to which the host has every change.
	Frontier uint64
	// Digest is the hash of the whole state.
	Digest uint64
	// Ready is true when the host serves requests.
	Ready bool
}

// Encode returns the watermark in WatermarkBytes bytes.
func (w Watermark) Encode() []byte {
	b := make([]byte, 0, WatermarkBytes)
	b = append(b, watermarkFormat, 0)
	if w.Ready {
		b[1] = 1
	}
	b = binary.BigEndian.AppendUint64(b, w.Frontier)
	return binary.BigEndian.AppendUint64(b, w.Digest)
}

// DecodeWatermark decodes the output of Encode. Trailing bytes, which a later
// format may append, are ignored.
func DecodeWatermark(b []byte) (Watermark, error) {
	if len(b) < WatermarkBytes {
		return Watermark{}, errors.Newf("watermark is %d bytes, want at least %d", len(b), WatermarkBytes)
	}
	if b[0] == 0 {
		return Watermark{}, errors.New("watermark has the invalid format 0")
	}
	return Watermark{
		Frontier: binary.BigEndian.Uint64(b[2:]),
		Digest:   binary.BigEndian.Uint64(b[10:]),
		Ready:    b[1]&1 == 1,
	}, nil
}

// MemberWatermark is a member with the watermark from its membership metadata.
type MemberWatermark struct {
	Member
	Watermark
}

// Status is the status of one revision of one key on this host.
type Status uint8

const (
	// Unseen means that the revision has not reached this host.
	Unseen Status = iota
	// Current means that the revision is the current one of its key.
	Current
	// Superseded means that a newer revision of the key is current.
	Superseded
	// Rejected means that the revision is invalid and will never be current.
	Rejected
)

// String implements fmt.Stringer.
func (s Status) String() string {
	return [...]string{"unseen", "current", "superseded", "rejected"}[s]
}

// Progress is the progress of a rollout of one revision over the fleet.
type Progress struct {
	// Status is the status on this host. Validation gives the same result on
	// every host of one release, so the status holds for all hosts that do not lag.
	Status Status
	// Lagging lists the addresses of the members that lack changes up to the
	// revision, or that do not serve yet.
	Lagging []string
}

// Complete reports whether the revision, or a newer one of its key, is current
// on this host and on every member passed to Node.Progress.
func (p Progress) Complete() bool {
	return (p.Status == Current || p.Status == Superseded) && len(p.Lagging) == 0
}

// Progress reports the rollout of revision of key over members.
func (n *Node) Progress(key string, revision uint64, members []MemberWatermark) Progress {
	out := Progress{Status: n.state.status(key, revision)}
	for _, m := range members {
		if m.Frontier < revision || !m.Ready {
			out.Lagging = append(out.Lagging, m.Address)
		}
	}
	return out
}

func (s *State) status(key string, revision uint64) Status {
	e := s.entries[key]
	if e == nil {
		return Unseen
	}
	inForce := idOf(e.inForce).Revision
	switch {
	case inForce == revision:
		return Current
	case inForce > revision:
		return Superseded
	case e.rejected.Revision == revision || idOf(e.newest).Revision == revision:
		return Rejected
	default:
		return Unseen
	}
}
