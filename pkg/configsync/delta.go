package configsync

import "bytes"

// Delta writes a document as a change to an older one: a prefix and a suffix
// taken from the base, and the bytes between them. Documents change in one
// place at a time, such as the state of one upstream, so this is small.
type Delta struct {
	// Base is the version that the delta applies to.
	Base ID
	// Prefix and Suffix are the bytes taken from the base at either end.
	Prefix, Suffix int
	// Middle stands between them.
	Middle []byte
}

// newDelta returns the change from base to value.
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

// apply returns the document, or false when the delta does not fit old.
func (d Delta) apply(old []byte) ([]byte, bool) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(old) || d.Suffix > len(old)-d.Prefix {
		return nil, false
	}
	return bytes.Join([][]byte{old[:d.Prefix], d.Middle, old[len(old)-d.Suffix:]}, nil), true
}
