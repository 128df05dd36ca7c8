package configsync

import "time"

// Message is a message between two hosts. Messages may be lost, delayed or
// duplicated, because the receiver merges each into its state.
type Message interface{ message() }

// Summary starts an anti-entropy exchange.
type Summary struct {
	// Frontier and Digest are those of the sender's state.
	Frontier, Digest uint64
	// Ready is true when the sender serves requests.
	Ready bool
	// Reply requests a reply.
	Reply bool
	// Informed is true when the state includes a response of the platform.
	Informed bool
	// Age is the time since the platform confirmed the state, if Informed.
	Age time.Duration
}

// Buckets is the reply to a Summary whose digest differs.
type Buckets struct {
	// Hashes has one hash for each bucket of keys.
	Hashes []uint64
}

// Known names the versions that a host has of one key: the newest one, valid or
// not, and the current one.
type Known struct {
	Key             string
	Newest, InForce ID
}

// Index lists the sender's versions of all keys in some buckets.
type Index struct {
	// Mask has a bit for each bucket that is listed in full.
	Mask uint64
	// Entries are the keys of these buckets with their versions.
	Entries []Known
}

// Announce lists keys that have changed on the sender.
type Announce struct {
	Range
	Entries []Known
}

// Range states that a host that has all changes up to revision Base, and the
// versions that come with the range, has all changes up to To. The zero Range
// makes no statement.
type Range struct{ Base, To uint64 }

// Want requests versions newer than those that the sender has.
type Want struct {
	Range
	Entries []Known
}

// Item is a version, in full or as a delta.
type Item struct {
	Version
	// Delta, if not nil, replaces Version.Value.
	Delta *Delta
}

// Items carries versions.
type Items struct {
	Range
	// More is true when further pages of the same reply follow.
	More bool
	// Verify requests a new comparison once the receiver has merged the items.
	Verify bool
	// Versions are in no particular order.
	Versions []Item
}

func (Summary) message()  {}
func (Buckets) message()  {}
func (Index) message()    {}
func (Announce) message() {}
func (Want) message()     {}
func (Items) message()    {}
