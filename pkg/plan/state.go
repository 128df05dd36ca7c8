// Package plan computes the effect of a change of the configuration without
// applying it: no part of the system can write to the platform. A plan contains the
// exact document to publish, a readable diff, the consequences and warnings, and the
// revision that it was computed from.
//
// The package is deterministic: the same state and edit give the same plan on every
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

// KeyPrefix is the prefix of the platform keys of service documents.
const KeyPrefix = "services/"

// Key returns the platform key of a service's document.
func Key(service string) string { return KeyPrefix + service }

// Document is the current version of a service document.
type Document struct {
	// Service is the validated document.
	Service *config.Service
	// Revision is the platform's revision at which this version was published.
	Revision uint64
}

// State is the current configuration on one entry host.
type State struct {
	// Revision is the newest platform revision that the state reflects.
	Revision uint64
	// Digest distinguishes states with the same revision.
	Digest uint64
	// Documents are the current documents, in any order.
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

// Digest returns a hash of the content of a document. Equivalent texts, which differ
// in white space or omit defaults, have the same digest. The digest of a nil service,
// which is a deleted document, is 0.
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

// Encode returns the document to publish, as indented JSON.
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

// clone copies s, so that edits do not modify the current document.
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
