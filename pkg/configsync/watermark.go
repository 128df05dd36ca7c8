package configsync

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// WatermarkBytes is the size of an encoded Watermark.
const WatermarkBytes = 18

const watermarkFormat = 1

// Watermark is what a host publishes in its membership metadata, so that
// operators see who lags.
type Watermark struct {
	// Frontier is the revision up to which no change is missing.
	Frontier uint64
	// Digest is the hash of the whole state.
	Digest uint64
	// Ready is true when the host serves.
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

// DecodeWatermark reads what Encode wrote. Bytes of a later format that follow
// are ignored.
func DecodeWatermark(b []byte) (Watermark, error) {
	if len(b) < WatermarkBytes {
		return Watermark{}, errors.Newf("watermark of %d bytes, want %d", len(b), WatermarkBytes)
	}
	if b[0] == 0 {
		return Watermark{}, errors.New("watermark of format 0")
	}
	return Watermark{
		Frontier: binary.BigEndian.Uint64(b[2:]),
		Digest:   binary.BigEndian.Uint64(b[10:]),
		Ready:    b[1]&1 == 1,
	}, nil
}

// MemberWatermark is a host's watermark as the membership gives it.
type MemberWatermark struct {
	Member
	Watermark
}

// Verdict is this host's view of one revision of one key.
type Verdict uint8

// The verdicts.
const (
	// Unseen: the revision has not reached this host.
	Unseen Verdict = iota
	// Current: the revision is in force.
	Current
	// Superseded: a newer revision of the key is in force.
	Superseded
	// Rejected: the revision is invalid and will never be in force.
	Rejected
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"unseen", "current", "superseded", "rejected"}[v]
}

// Progress says how far a revision has come over the fleet.
type Progress struct {
	// Verdict is this host's own view. Acceptance is the same on every host of
	// one release, so it holds for all that do not lag.
	Verdict Verdict
	// Lagging are the addresses of the members that lack changes up to the
	// revision, or do not serve yet.
	Lagging []string
}

// Complete reports whether the revision, or a newer one of its key, is in
// force on this host and on every member given.
func (p Progress) Complete() bool {
	return (p.Verdict == Current || p.Verdict == Superseded) && len(p.Lagging) == 0
}

// Progress reports on revision of key over members.
func (n *Node) Progress(key string, revision uint64, members []MemberWatermark) Progress {
	out := Progress{Verdict: n.state.verdict(key, revision)}
	for _, m := range members {
		if m.Frontier < revision || !m.Ready {
			out.Lagging = append(out.Lagging, m.Address)
		}
	}
	return out
}

func (s *State) verdict(key string, revision uint64) Verdict {
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
