package lifecycle

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Key identifies an upstream of a service between entry hosts.
type Key uint64

// KeyOf returns the key of an upstream of a service. Two upstreams with one key
// would leave together; with a 64-bit hash that is left to chance.
func KeyOf(service, upstream string) Key {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(upstream)
	return Key(d.Sum64())
}

// Notice is what an entry host knows, and tells its peers, about an upstream
// that leaves. Notices only grow: Join takes the larger of each field, so that
// they may come late, twice and in any order.
type Notice struct {
	// Key is the upstream.
	Key Key
	// DrainRevision is the newest revision of its service's document known to
	// say that it is draining or not listed. Only a newer document revives it.
	DrainRevision uint64
	// MinActivation is one more than the newest activation known to be over. Only
	// this activation or a later one is alive; 0 means none is known to be over.
	MinActivation uint64
}

// Join returns the knowledge of both notices, which must have one key. It is
// idempotent, commutative and associative.
func (n Notice) Join(o Notice) Notice {
	n.DrainRevision = max(n.DrainRevision, o.DrainRevision)
	n.MinActivation = max(n.MinActivation, o.MinActivation)
	return n
}

// allows reports whether a listing outranks everything known by w.
func (n Notice) allows(revision, activation uint64) bool {
	return revision > n.DrainRevision && activation >= n.MinActivation
}

// MaxNoticeBytes bounds an encoded notice: a key and two varints.
const MaxNoticeBytes = keyBytes + 2*binary.MaxVarintLen64

const keyBytes = 8

// ErrShortNotice means that the encoding of a notice ends early.
var ErrShortNotice = errors.New("notice ends early")

// ErrLongNumber means that a number in a notice is over 64 bits.
var ErrLongNumber = errors.New("number in a notice is over 64 bits")

// appendTo appends the encoding of n to b.
func (n Notice) appendTo(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(n.Key))
	b = binary.AppendUvarint(b, n.DrainRevision)
	return binary.AppendUvarint(b, n.MinActivation)
}

// decodeNotice reads one notice and returns the rest of b.
func decodeNotice(b []byte) (Notice, []byte, error) {
	if len(b) < keyBytes {
		return Notice{}, nil, ErrShortNotice
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
		return 0, nil, ErrShortNotice
	case size < 0:
		return 0, nil, ErrLongNumber
	}
	return v, b[size:], nil
}

// EncodeNotices returns the encoding of all notices.
func EncodeNotices(notices []Notice) []byte {
	b := make([]byte, 0, len(notices)*MaxNoticeBytes)
	for _, n := range notices {
		b = n.appendTo(b)
	}
	return b
}

// DecodeNotices reads notices to the end of b.
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
