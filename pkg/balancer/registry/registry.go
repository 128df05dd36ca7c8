// Package registry looks up the builder of a policy by its name in configuration
// documents.
package registry

import (
	"maps"
	"slices"
	"strings"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/leastoutstanding"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/peakewma"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/probefirst"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/probepool"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/random"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/roundrobin"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/twochoices"
)

// UnknownPolicyError is returned for a name that no policy has.
type UnknownPolicyError struct {
	// Policy is the unknown name.
	Policy string
}

// Error implements error and lists the known names.
func (e *UnknownPolicyError) Error() string {
	return "unknown policy " + e.Policy + "; write one of " + strings.Join(Names(), ", ")
}

var builders = index(
	random.Builder{},
	roundrobin.Builder{},
	leastoutstanding.Builder{},
	twochoices.Builder{},
	peakewma.Builder{},
	probefirst.Builder{},
	probepool.Builder{},
	spindle.Builder{},
)

func index(all ...balancer.Builder) map[string]balancer.Builder {
	m := make(map[string]balancer.Builder, len(all))
	for _, b := range all {
		m[b.Name()] = b
	}
	return m
}

// Lookup returns the builder with the given name, or *UnknownPolicyError.
func Lookup(name string) (balancer.Builder, error) {
	b, ok := builders[name]
	if !ok {
		return nil, &UnknownPolicyError{Policy: name}
	}
	return b, nil
}

// Names returns all names in alphabetical order.
func Names() []string { return slices.Sorted(maps.Keys(builders)) }
