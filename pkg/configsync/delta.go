package configsync

import "bytes"

// Delta encodes a document as a change to an older version: a prefix and a suffix
// of the base, and the bytes between them. This is compact because documents
// usually change in one place at a time, such as the state of one upstream.
type Delta struct {
	// Base is the version that the delta applies to.
	Base ID
	// Prefix and Suffix are the numbers of bytes copied from either end of the base.
	Prefix, Suffix int
	// Middle is the content between prefix and suffix.
	Middle []byte
}

// newDelta returns the delta from base to value.
func newDelta(base *Version, value []byte) Delta {
	old := base.Value
	limit := min(len(old), len(value))
	prefix := 0
	for prefix < limit && old[prefix] == value[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < limit-prefix && old[len(old)-1-suffix] == value[len(value)-1-suffix] {
		suffix++
	}
	return Delta{base.ID, prefix, suffix, value[prefix : len(value)-suffix]}
}

// apply returns the new document, or false if the delta does not fit old.
func (d Delta) apply(old []byte) ([]byte, bool) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(old) || d.Suffix > len(old)-d.Prefix {
		return nil, false
	}
	return bytes.Join([][]byte{old[:d.Prefix], d.Middle, old[len(old)-d.Suffix:]}, nil), true
}
