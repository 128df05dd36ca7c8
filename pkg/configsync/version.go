// Package configsync decides which published documents are in force on an
// entry host, and how entry hosts tell each other about them.
//
// The parts do no I/O: State joins versions, Node turns events (a tick, a
// message, an answer of the platform) into effects (messages to send, a read
// to make). Time is passed in, randomness comes from Options.Rand. Neither is
// safe for concurrent use; both belong to one goroutine.
//
// The state of a host is a maximum per key over all versions it has seen, by
// the total order of ID. The join is idempotent, commutative and associative,
// so hosts that saw the same versions in any order agree.
package configsync

import (
	"bytes"
	"cmp"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// ID orders the versions of one key: first by the platform's revision, then by
// the digest of the content. The zero ID stands for "no version".
type ID struct {
	// Revision is the platform's store-wide revision.
	Revision uint64
	// Digest is a hash of the content; 0 for a deletion.
	Digest uint64
}

// Compare returns -1, 0 or 1 as a orders before, equal to or after b.
func (a ID) Compare(b ID) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Digest, b.Digest))
}

// Version is one published version of a key. It is immutable.
type Version struct {
	// Key is the platform's key, such as "services/ledger".
	Key string
	// ID orders the version among those of its key.
	ID ID
	// Deleted is true for a deletion.
	Deleted bool
	// Value is the document as compact JSON; empty when deleted.
	Value []byte
}

// NewVersion returns the version that the platform published as value at
// revision. White space is removed from the document, so that the digest does
// not depend on how the platform writes JSON.
func NewVersion(key string, revision uint64, deleted bool, value []byte) Version {
	if deleted {
		return Version{Key: key, ID: ID{Revision: revision}, Deleted: true}
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err == nil {
		value = bytes.Clone(compact.Bytes())
	}
	return Version{Key: key, ID: ID{revision, digestOf(value)}, Value: value}
}

// digestOf hashes a document. It is never 0, which stands for a deletion.
func digestOf(value []byte) uint64 {
	return max(xxhash.Sum64(value), 1)
}

// intact reports whether the digest of v is that of its content.
func (v Version) intact() bool {
	if v.Deleted {
		return v.ID.Digest == 0 && len(v.Value) == 0
	}
	return v.ID.Digest == digestOf(v.Value)
}
