// Package spindle is the product's own policy. It estimates the whole load of
// each upstream from reports that ride on answers, binds a request only when a
// slot is believed free, and reacts to requests that grow older than expected.
package spindle

import "github.com/dapplespindle/dapplespindle/pkg/balancer"

// Name is the name in configuration documents.
const Name = "spindle"

// Builder creates policies.
type Builder struct {
	// Constants replaces the defaults; the zero value keeps them.
	Constants *Constants
}

// Name implements balancer.Builder.
func (Builder) Name() string { return Name }

// Build implements balancer.Builder.
func (b Builder) Build(o balancer.Options) balancer.Policy {
	c := Defaults
	if b.Constants != nil {
		c = *b.Constants
	}
	p := &policy{constants: c, options: o}
	p.group.constants = &p.constants
	return p
}
