// Package spindle estimates the total load of each upstream from the load reports
// in responses, assigns a request only if the estimated load leaves room for it, and
// avoids upstreams whose requests in flight are older than expected.
package spindle

import "github.com/dapplespindle/dapplespindle/pkg/balancer"

// Name is the name in configuration documents.
const Name = "spindle"

// Builder creates policies.
type Builder struct {
	// Constants replaces Defaults if it is not nil.
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
