package configsync

import (
	"cmp"
	"math/bits"
	"slices"
)

// differing returns a mask of the buckets whose hashes differ. A list of the
// wrong length differs in all buckets.
func (s *State) differing(hashes []uint64) uint64 {
	if len(hashes) != bucketCount {
		return ^uint64(0)
	}
	var mask uint64
	for i, h := range hashes {
		if h != s.buckets[i] {
			mask |= 1 << i
		}
	}
	return mask
}

// index lists the keys of the buckets in mask, in pages of about pageEntries
// keys. A bucket is never split across pages.
func (s *State) index(mask uint64, pageEntries int) []Index {
	var lists [bucketCount][]Known
	for _, key := range s.Keys() {
		if b := bucketOf(key); mask>>b&1 == 1 {
			lists[b] = append(lists[b], s.known(key))
		}
	}
	var pages []Index
	page := Index{}
	for mask != 0 {
		b := bits.TrailingZeros64(mask)
		mask &^= 1 << b
		page.Mask |= 1 << b
		page.Entries = append(page.Entries, lists[b]...)
		if len(page.Entries) >= pageEntries {
			pages = append(pages, page)
			page = Index{}
		}
	}
	if page.Mask != 0 {
		pages = append(pages, page)
	}
	return pages
}

func (e *entry) known(key string) Known {
	return Known{key, idOf(e.newest), idOf(e.inForce)}
}

func (s *State) known(key string) Known {
	if e := s.entries[key]; e != nil {
		return e.known(key)
	}
	return Known{Key: key}
}

func (s *State) knownAll(keys []string) []Known {
	out := make([]Known, 0, len(keys))
	for _, k := range keys {
		out = append(out, s.known(k))
	}
	return out
}

// changedAfter returns the keys whose newest version has a revision above the
// given one.
func (s *State) changedAfter(revision uint64) []string {
	var out []string
	for key, e := range s.entries {
		if idOf(e.newest).Revision > revision {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// lacking returns the listed keys for which the sender has newer versions, with
// the versions that this host has.
func (s *State) lacking(entries []Known) []Known {
	var out []Known
	for _, k := range entries {
		if s.lacks(k) {
			out = append(out, s.known(k.Key))
		}
	}
	return out
}

func (s *State) lacks(k Known) bool {
	e := s.entries[k.Key]
	if e == nil {
		return k.Newest != ID{}
	}
	if k.Newest.Compare(idOf(e.newest)) > 0 {
		return true
	}
	seen := k.InForce == e.rejected || k.InForce == idOf(e.newest)
	return k.InForce.Compare(idOf(e.inForce)) > 0 && !seen
}

// newerThanIndex returns the versions that the sender of an index lacks.
func (s *State) newerThanIndex(in Index) []Item {
	other := make(map[string]Known, len(in.Entries))
	for _, k := range in.Entries {
		other[k.Key] = k
	}
	var out []Item
	for key, e := range s.entries {
		if in.Mask>>bucketOf(key)&1 == 0 {
			continue
		}
		k := other[key]
		k.Key = key
		out = append(out, e.newerThan(k)...)
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Or(a.ID.Compare(b.ID), cmp.Compare(a.Key, b.Key)) })
	return out
}

// newerThanKnown returns the versions that are newer than those listed.
func (s *State) newerThanKnown(entries []Known) []Item {
	var out []Item
	for _, k := range entries {
		if e := s.entries[k.Key]; e != nil {
			out = append(out, e.newerThan(k)...)
		}
	}
	return out
}

func (e *entry) newerThan(k Known) []Item {
	var out []Item
	if e.inForce != nil && e.inForce.ID.Compare(k.InForce) > 0 {
		out = append(out, e.item(e.inForce, k.InForce))
	}
	if e.newest != e.inForce && e.newest.ID.Compare(k.Newest) > 0 {
		out = append(out, e.item(e.newest, k.InForce))
	}
	return out
}

// item encodes v for a host whose current version is base: as a delta if base is
// still known here, else in full.
func (e *entry) item(v *Version, base ID) Item {
	if v.Deleted {
		return Item{Version: *v}
	}
	for _, old := range [...]*Version{e.previous, e.inForce} {
		if old == nil || old.Deleted || old.ID != base || old == v {
			continue
		}
		d := newDelta(old, v.Value)
		head := *v
		head.Value = nil
		return Item{head, &d}
	}
	return Item{Version: *v}
}

// resolve returns the full version of an item. It returns false if the base of
// its delta is not known here or the content does not match its digest.
func (s *State) resolve(it Item) (Version, bool) {
	v := it.Version
	if it.Delta != nil {
		value, ok := s.applyDelta(v.Key, *it.Delta)
		if !ok {
			return v, false
		}
		v.Value = value
	}
	return v, v.intact()
}

func (s *State) applyDelta(key string, d Delta) ([]byte, bool) {
	e := s.entries[key]
	if e == nil {
		return nil, false
	}
	for _, old := range [...]*Version{e.inForce, e.previous} {
		if old != nil && old.ID == d.Base {
			return d.apply(old.Value)
		}
	}
	return nil, false
}
