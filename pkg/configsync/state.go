package configsync

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// KeyPrefix is the prefix of the keys of service documents. It is followed by
// the name of the service.
const KeyPrefix = "services/"

// bucketCount is the number of hash buckets by which two states are compared.
const bucketCount = 64

// Document is the current version of a service document.
type Document struct {
	*config.Service
	// Revision is the platform's revision.
	Revision uint64
	// Digest is the hash of the document.
	Digest uint64
}

// entry holds the versions of one key.
type entry struct {
	newest   *Version // newest version seen, valid or not
	inForce  *Version // current version: the newest valid one
	service  *config.Service
	previous *Version // the current version before inForce; a base for deltas
	rejected ID       // the last invalid version
	// unread replaces service while the newest version is invalid and no version is current:
	// a document that can't be read must not look like none.
	unread *config.Service
}

// State is the merge of all versions that a host has seen.
type State struct {
	entries  map[string]*entry
	buckets  [bucketCount]uint64
	frontier uint64
}

// NewState returns an empty state.
func NewState() *State {
	return &State{entries: make(map[string]*entry)}
}

// MergeResult reports what merging one version changed.
type MergeResult struct {
	// Changed is true when the state changed.
	Changed bool
	// InForce is true when the current version of the key changed.
	InForce bool
	// Unread is true when an invalid document was added to, or replaced, the current ones as
	// an unserved service.
	Unread bool
	// Conflict is true when the newest known version has the same revision with
	// other content.
	Conflict bool
	// Invalid is the validation error that keeps the document from becoming
	// current; nil if it is valid.
	Invalid error
	// Regressed is true when an older version would have replaced the current
	// one. The state keeps the newer version; an invariant is violated.
	Regressed bool
}

// Merge merges v into the state.
func (s *State) Merge(v Version) MergeResult {
	e := s.entries[v.Key]
	if e == nil {
		e = new(entry)
	}
	newer := v.ID.Compare(idOf(e.newest)) > 0
	better := v.ID.Compare(idOf(e.inForce)) > 0
	out := MergeResult{Conflict: e.conflicts(v)}
	if !newer && (!better || v.ID == e.rejected || v.ID == idOf(e.newest)) {
		return out
	}
	service, err := validate(v)
	out.Invalid = err
	before := e.hash(v.Key)
	if newer {
		out.Changed = true
		e.newest = &v
	}
	switch {
	case err != nil:
		e.rejected = v.ID
	case better:
		out.Changed = true
		out.Regressed = !e.setInForce(&v, service)
		out.InForce = !out.Regressed
	}
	if newer {
		e.unread = unreadService(v, err)
		out.Unread = e.unread != nil && e.service == nil
	}
	s.entries[v.Key] = e
	s.buckets[bucketOf(v.Key)] ^= before ^ e.hash(v.Key)
	return out
}

// setInForce makes v the current version. It does nothing and returns false if
// the current version is newer.
func (e *entry) setInForce(v *Version, service *config.Service) bool {
	if v.ID.Compare(idOf(e.inForce)) < 0 {
		return false
	}
	e.previous = e.inForce
	e.inForce = v
	e.service = service
	return true
}

func (e *entry) conflicts(v Version) bool {
	known := idOf(e.newest)
	return v.ID.Revision == known.Revision && v.ID.Digest != known.Digest
}

// validate checks whether v can become current. The result depends on v alone,
// so that every host of one release comes to the same result.
func validate(v Version) (*config.Service, error) {
	name, ok := strings.CutPrefix(v.Key, KeyPrefix)
	if !ok {
		return nil, errors.Newf("key %q does not start with %q", v.Key, KeyPrefix)
	}
	if v.Deleted {
		return nil, nil
	}
	service, err := config.Parse(v.Value)
	if err != nil {
		return nil, err
	}
	if service.Name != name {
		return nil, &config.FieldError{Field: "name", Problem: "differs from the key " + v.Key, Fix: "publish it under " + KeyPrefix + service.Name}
	}
	return service, nil
}

// unreadService returns the unserved service for a version that is invalid because of err; nil
// if it is valid or no service document.
func unreadService(v Version, err error) *config.Service {
	name, ok := strings.CutPrefix(v.Key, KeyPrefix)
	if !ok || err == nil {
		return nil
	}
	return config.Unread(name, v.Value, err)
}

// Frontier returns the revision up to which the state has every change.
func (s *State) Frontier() uint64 { return s.frontier }

// advance raises the frontier to revision, if the frontier has reached base.
func (s *State) advance(base, revision uint64) bool {
	if s.frontier < base || revision <= s.frontier {
		return false
	}
	s.frontier = revision
	return true
}

// Digest returns a hash of the whole state, independent of the order of merges.
func (s *State) Digest() uint64 {
	var d uint64
	for _, b := range s.buckets {
		d ^= b
	}
	return d
}

// InForce returns the current documents, ordered by name. A document of which only invalid
// versions are known is an unserved service.
func (s *State) InForce() []Document {
	out := make([]Document, 0, len(s.entries))
	for _, e := range s.entries {
		switch {
		case e.service != nil:
			out = append(out, Document{e.service, e.inForce.ID.Revision, e.inForce.ID.Digest})
		case e.unread != nil:
			out = append(out, Document{e.unread, e.newest.ID.Revision, e.newest.ID.Digest})
		}
	}
	slices.SortFunc(out, func(a, b Document) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// InForceID returns the current version of key, or the zero ID if there is none.
func (s *State) InForceID(key string) ID {
	if e := s.entries[key]; e != nil {
		return idOf(e.inForce)
	}
	return ID{}
}

// NewestID returns the newest version of key seen, valid or not.
func (s *State) NewestID(key string) ID {
	if e := s.entries[key]; e != nil {
		return idOf(e.newest)
	}
	return ID{}
}

// Keys returns all keys seen, in order.
func (s *State) Keys() []string {
	return slices.Sorted(maps.Keys(s.entries))
}

func idOf(v *Version) ID {
	if v == nil {
		return ID{}
	}
	return v.ID
}

func bucketOf(key string) int {
	return int(xxhash.Sum64String(key) % bucketCount)
}

// hash returns the hash of one key's versions, which is combined by XOR into
// the hash of its bucket.
func (e *entry) hash(key string) uint64 {
	if e.newest == nil {
		return 0
	}
	b := make([]byte, 0, 128)
	b = append(b, key...)
	for _, id := range [...]ID{idOf(e.newest), idOf(e.inForce)} {
		b = binary.BigEndian.AppendUint64(b, id.Revision)
		b = binary.BigEndian.AppendUint64(b, id.Digest)
	}
	return xxhash.Sum64(b)
}
