package lifecycle

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Key identifies an upstream of a service between entry hosts.
type Key uint64

// KeyOf returns the key of an upstream of a service. Two upstreams whose keys
// collide would be marked as leaving together; with a 64-bit hash that is
// unlikely enough to accept.
func KeyOf(service, upstream string) Key {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(upstream)
	return Key(d.Sum64())
}

// Notice is what an entry host knows, and sends to its peers, about an upstream
// that is leaving. Notices form a join-semilattice: Join takes the maximum of
// each field, so they may arrive late, more than once and in any order.
type Notice struct {
	// Key is the upstream.
	Key Key
	// DrainRevision is the newest known revision of its service's document in
	// which it is draining or not listed. Only a newer document reactivates it.
	DrainRevision uint64
	// MinActivation is one more than the newest activation known to have ended.
	// Only this activation or a later one is valid; 0 means that none is known
	// to have ended.
	MinActivation uint64
}

// Join returns the union of what both notices state; they must have the same
// key. It is idempotent, commutative and associative.
func (n Notice) Join(o Notice) Notice {
	n.DrainRevision = max(n.DrainRevision, o.DrainRevision)
	n.MinActivation = max(n.MinActivation, o.MinActivation)
	return n
}

// allows reports whether a document entry with this revision and activation
// takes precedence over n.
func (n Notice) allows(revision, activation uint64) bool {
	return revision > n.DrainRevision && activation >= n.MinActivation
}

// MaxNoticeBytes is the maximum size of an encoded notice: a key and two varints.
const MaxNoticeBytes = keyBytes + 2*binary.MaxVarintLen64

const keyBytes = 8

// ErrTruncatedNotice means that an encoded notice is truncated.
var ErrTruncatedNotice = errors.New("notice ends early")

// ErrVarintOverflow means that a varint in a notice overflows 64 bits.
var ErrVarintOverflow = errors.New("number in a notice is over 64 bits")

// appendTo appends the encoding of n to b.
func (n Notice) appendTo(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(n.Key))
	b = binary.AppendUvarint(b, n.DrainRevision)
	return binary.AppendUvarint(b, n.MinActivation)
}

// decodeNotice decodes one notice and returns the remainder of b.
func decodeNotice(b []byte) (Notice, []byte, error) {
	if len(b) < keyBytes {
		return Notice{}, nil, ErrTruncatedNotice
	}
	n := Notice{Key: Key(binary.BigEndian.Uint64(b))}
	rest := b[keyBytes:]
	var err error
	if n.DrainRevision, rest, err = decodeNumber(rest); err != nil {
		return Notice{}, nil, err
	}
	if n.MinActivation, rest, err = decodeNumber(rest); err != nil {
		return Notice{}, nil, err
	}
	return n, rest, nil
}

func decodeNumber(b []byte) (uint64, []byte, error) {
	v, size := binary.Uvarint(b)
	switch {
	case size == 0:
		return 0, nil, ErrTruncatedNotice
	case size < 0:
		return 0, nil, ErrVarintOverflow
	}
	return v, b[size:], nil
}

// EncodeNotices returns the concatenated encodings of the notices.
func EncodeNotices(notices []Notice) []byte {
	b := make([]byte, 0, len(notices)*MaxNoticeBytes)
	for _, n := range notices {
		b = n.appendTo(b)
	}
	return b
}

// DecodeNotices decodes notices up to the end of b.
func DecodeNotices(b []byte) ([]Notice, error) {
	var notices []Notice
	for len(b) > 0 {
		n, rest, err := decodeNotice(b)
		if err != nil {
			return nil, err
		}
		notices = append(notices, n)
		b = rest
	}
	return notices, nil
}
