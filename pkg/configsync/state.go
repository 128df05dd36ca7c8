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

// KeyPrefix is the prefix of the keys of service documents; the rest is the
// name of the service.
const KeyPrefix = "services/"

// bucketCount is the number of parts in which two states are compared.
const bucketCount = 64

// Document is a service document in force with the version it came from.
type Document struct {
	*config.Service
	// Revision is the platform's revision.
	Revision uint64
	// Digest is the hash of the document.
	Digest uint64
}

// entry holds what is known of one key.
type entry struct {
	newest   *Version
	inForce  *Version
	service  *config.Service
	previous *Version
	rejected ID
}

// State is the join of all versions that a host has seen.
type State struct {
	entries  map[string]*entry
	buckets  [bucketCount]uint64
	frontier uint64
}

// NewState returns the state that has seen nothing.
func NewState() *State {
	return &State{entries: make(map[string]*entry)}
}

// Merged says what one version changed.
type Merged struct {
	// Changed is true when the state is no longer what it was.
	Changed bool
	// InForce is true when another version of the key is now in force.
	InForce bool
	// Conflict is true when the revision was known with other content.
	Conflict bool
	// Invalid is why the document can't be in force; nil when it is valid.
	Invalid error
	// Regressed is true when an older version would have replaced the one in
	// force. The state refused; it is a breach of an invariant.
	Regressed bool
}

// Merge joins v into the state.
func (s *State) Merge(v Version) Merged {
	e := s.entries[v.Key]
	if e == nil {
		e = new(entry)
	}
	newer := v.ID.Compare(idOf(e.newest)) > 0
	better := v.ID.Compare(idOf(e.inForce)) > 0
	out := Merged{Conflict: e.conflicts(v)}
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
		out.Regressed = !e.put(&v, service)
		out.InForce = !out.Regressed
	}
	s.entries[v.Key] = e
	s.buckets[bucketOf(v.Key)] ^= before ^ e.hash(v.Key)
	return out
}

// put takes v into force. It refuses, and reports false, when that would fall
// back to an older version.
func (e *entry) put(v *Version, service *config.Service) bool {
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

// validate decides whether v can be in force. It depends on nothing but v, so
// that every host of one release decides alike.
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

// Frontier returns the revision up to which no change is missing.
func (s *State) Frontier() uint64 { return s.frontier }

// advance raises the frontier from base to revision, if nothing is missing
// between the present frontier and base.
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

// InForce returns the documents in force, ordered by name.
func (s *State) InForce() []Document {
	out := make([]Document, 0, len(s.entries))
	for _, e := range s.entries {
		if e.service != nil {
			out = append(out, Document{e.service, e.inForce.ID.Revision, e.inForce.ID.Digest})
		}
	}
	slices.SortFunc(out, func(a, b Document) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// InForceID returns the version of key in force; the zero ID if there is none.
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

// hash is the share of one key in the digest of the state.
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
