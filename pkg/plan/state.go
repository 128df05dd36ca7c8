// Package plan computes what a change of the configuration would do, without
// doing it: nothing of the system can write. A plan holds the exact document
// to publish, a readable difference, the consequences and the warnings, and
// the revision that it was computed from.
//
// The package is pure: the same state and edit give the same plan on every
// entry host.
package plan

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// KeyPrefix starts the platform key of every service document.
const KeyPrefix = "services/"

// Key returns the platform key of a service's document.
func Key(service string) string { return KeyPrefix + service }

// Document is one service document in force.
type Document struct {
	// Service is the validated document.
	Service *config.Service
	// Revision is the platform's revision at which this version was published.
	Revision uint64
}

// State is the configuration in force on one entry host.
type State struct {
	// Revision is the newest platform revision that the state reflects.
	Revision uint64
	// Digest tells apart two states with the same revision.
	Digest uint64
	// Documents are the services in force, in any order.
	Documents []Document
}

// Find returns the document of a service, or nil.
func (s *State) Find(service string) *Document {
	i := slices.IndexFunc(s.Documents, func(d Document) bool { return d.Service.Name == service })
	if i < 0 {
		return nil
	}
	return &s.Documents[i]
}

// Digest identifies the content of a document. Two texts that mean the same,
// with other spacing or with defaults left out, have the same digest. A nil
// service, a deleted document, has digest 0.
func Digest(s *config.Service) uint64 {
	if s == nil {
		return 0
	}
	canonical := clone(s)
	canonical.SetDefaults()
	b, err := json.Marshal(canonical)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// Encode writes the document to publish: indented JSON with defaults filled in.
func Encode(s *config.Service) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(s); err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	return b.Bytes(), nil
}

// clone copies s, so that edits leave the document in force untouched.
func clone(s *config.Service) *config.Service {
	c := *s
	c.Groups = slices.Clone(s.Groups)
	for i := range c.Groups {
		c.Groups[i].Upstreams = slices.Clone(c.Groups[i].Upstreams)
	}
	c.Rules = slices.Clone(s.Rules)
	for i := range c.Rules {
		c.Rules[i].Methods = slices.Clone(c.Rules[i].Methods)
	}
	return &c
}
