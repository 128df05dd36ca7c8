package plan

import (
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// Base is the version of a document that a plan was computed from.
type Base struct {
	// Revision is the document's platform revision; 0 if it did not exist.
	Revision uint64
	// Digest is the document's Digest; 0 if it did not exist.
	Digest uint64
}

// Request is a request to compute a plan.
type Request struct {
	// Service names the service whose document changes.
	Service string
	Edit    Edit
	// Expected, if not nil, is the version that the operator expects. If another
	// version is current, the result is a *ConflictError.
	Expected *Base
}

// Plan is a computed change, which has not been published.
type Plan struct {
	// Key is the platform key to publish under.
	Key string
	// Base is the current version, from which the plan was computed.
	Base Base
	// Delete is true when the key is to be deleted.
	Delete bool
	// Service is the document after the change; nil when deleted.
	Service *config.Service
	// Document is the exact text to publish; empty when deleted.
	Document []byte
	// Digest is the Digest of Service; 0 when deleted.
	Digest uint64
	// Differences lists each field that changes.
	Differences []Difference
	// Consequences describe how the change affects requests.
	Consequences []string
	// Warnings describe effects that are probably not intended.
	Warnings []string
}

// Unchanged reports whether the plan changes nothing.
func (p *Plan) Unchanged() bool { return len(p.Differences) == 0 }

// Compute computes a plan against the current state. The error is a
// *ConflictError, *NotFoundError, *ExistsError or *config.FieldError.
func Compute(state *State, req Request) (*Plan, error) {
	doc := state.Find(req.Service)
	base := baseOf(doc)
	if req.Expected != nil && *req.Expected != base {
		return nil, &ConflictError{Key: Key(req.Service), Expected: *req.Expected, Actual: base}
	}
	before, after, err := edit(doc, req)
	if err != nil {
		return nil, err
	}
	p := &Plan{Key: Key(req.Service), Base: base, Delete: after == nil, Service: after}
	if after != nil {
		if err := p.encode(req.Service); err != nil {
			return nil, err
		}
	}
	p.Differences = Diff(before, after)
	p.Consequences = explain(before, after)
	p.Warnings = warn(state, before, after)
	return p, nil
}

func baseOf(doc *Document) Base {
	if doc == nil {
		return Base{}
	}
	return Base{Revision: doc.Revision, Digest: Digest(doc.Service)}
}

// edit applies the request's edit to a copy of the current document.
func edit(doc *Document, req Request) (before, after *config.Service, err error) {
	if doc != nil {
		before = doc.Service
		after, err = req.Edit.apply(clone(before))
		return before, after, err
	}
	put, ok := req.Edit.(PutService)
	if !ok {
		return nil, nil, &NotFoundError{"service", req.Service}
	}
	after, err = put.apply(nil)
	return nil, after, err
}

// encode sets the defaults of the new document, validates and encodes it. The text
// is decoded again by config.Parse, which ensures that entry hosts accept it.
func (p *Plan) encode(name string) error {
	p.Service.SetDefaults()
	if p.Service.Name != name {
		return &config.FieldError{Field: "name", Problem: "is not " + name, Fix: "a document's name and key are the same; create a new service instead"}
	}
	if err := p.Service.Validate(); err != nil {
		return err
	}
	text, err := Encode(p.Service)
	if err != nil {
		return err
	}
	if p.Service, err = config.Parse(text); err != nil {
		return err
	}
	p.Document = text
	p.Digest = Digest(p.Service)
	return nil
}
