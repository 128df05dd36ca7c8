package configsync

import "time"

// Message is what one host sends to another. A lost, late or doubled message
// does no harm: each only adds to what the receiver knows.
type Message interface{ message() }

// Summary opens a comparison.
type Summary struct {
	// Frontier and Digest are those of the sender's state.
	Frontier, Digest uint64
	// Ready is true when the sender serves.
	Ready bool
	// Reply asks for an answer.
	Reply bool
	// Informed is true when the state includes an answer of the platform.
	Informed bool
	// Age is the time since the platform confirmed the state, if Informed.
	Age time.Duration
}

// Buckets is the answer to a Summary whose digest differs.
type Buckets struct {
	// Hashes has one hash for each part of the keys.
	Hashes []uint64
}

// Known names the versions that a host has of one key.
type Known struct {
	Key             string
	Newest, InForce ID
}

// Index lists what the sender knows of the keys in some buckets.
type Index struct {
	// Mask has a bit for each bucket that is listed in full.
	Mask uint64
	// Entries are the keys of these buckets.
	Entries []Known
}

// Announce lists keys that have changed.
type Announce struct {
	Range
	Entries []Known
}

// Range states that a host which has all changes up to Base, and the versions
// that come with the range, has all up to To. The zero Range states nothing.
type Range struct{ Base, To uint64 }

// Want asks for versions newer than those that the sender knows.
type Want struct {
	Range
	Entries []Known
}

// Item is a version in full or as a delta.
type Item struct {
	Version
	// Delta replaces Version.Value if not nil.
	Delta *Delta
}

// Items carries versions.
type Items struct {
	Range
	// More is true when the sender has more of the same answer to send.
	More bool
	// Verify asks the receiver to compare again when it has merged the items.
	Verify bool
	// Versions are the content, in no special order.
	Versions []Item
}

func (Summary) message()  {}
func (Buckets) message()  {}
func (Index) message()    {}
func (Announce) message() {}
func (Want) message()     {}
func (Items) message()    {}
