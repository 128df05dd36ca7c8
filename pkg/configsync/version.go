// Package configsync determines the current version of each published document
// on an entry host and replicates the versions among entry hosts.
//
// The current version of a key, called "in force" in identifiers and in the
// protocol, is its newest valid one.
//
// The package does no I/O. State merges versions; Node turns events (a tick, a
// message, a response of the platform) into effects (messages to send, a read
// to make). Time is passed in, and randomness comes from Options.Rand. State
// and Node are not safe for concurrent use; both belong to one goroutine.
//
// The state of a host is a join-semilattice: for each key, the maximum over all
// versions seen, in the total order of ID. The merge is idempotent, commutative
// and associative, so hosts that have seen the same versions, in any order, agree.
package configsync

import (
	"bytes"
	"cmp"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a version and orders the versions of one key: first by the
// platform's revision, then by the digest of the content. The zero ID means "no
// version".
type ID struct {
	// Revision is the platform's revision, which counts over all keys.
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
	ID  ID
	// Deleted marks a tombstone: the key was deleted at this revision.
	Deleted bool
	// Value is the document as compact JSON; empty when deleted.
	Value []byte
}

// NewVersion returns the version that the platform published as value at
// revision. Insignificant white space is removed from the document, so that the
// digest does not depend on how the platform formats JSON.
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

// digestOf hashes a document. The result is never 0, which denotes a deletion.
func digestOf(value []byte) uint64 {
	return max(xxhash.Sum64(value), 1)
}

// intact reports whether the digest of v matches its content.
func (v Version) intact() bool {
	if v.Deleted {
		return v.ID.Digest == 0 && len(v.Value) == 0
	}
	return v.ID.Digest == digestOf(v.Value)
}
