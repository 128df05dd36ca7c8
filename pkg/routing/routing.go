// Package routing compiles the current documents into an immutable routing table,
// which the goroutines that serve requests read without locking.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/customers"
)

// Table maps requests to rules. It is immutable.
type Table struct {
	services []*Service // in match order
	index    index
	// Customers are the customers by key; nil if callers need no keys.
	Customers *customers.Table
	// Revision is the highest platform revision that the table reflects.
	Revision uint64
}

// Service is a compiled service.
type Service struct {
	// Config is the document that it was compiled from.
	Config *config.Service
	rules  []*Rule
}

// Rule is a compiled rule with its groups.
type Rule struct {
	// Config is the rule as published.
	Config *config.Rule
	// Service is the service that the rule belongs to.
	Service *config.Service
	// Targets are the groups among which its requests are distributed. There is at
	// least one unless the service is unserved.
	Targets []Target
}

// unserved is the rule of services that are not served. It allows no retries.
var unserved = config.Rule{Name: "unserved", Repeat: config.NonRepeatable, Deadline: config.Duration(config.DefaultDeadline)}

// Target is one group's share of a rule's requests.
type Target struct {
	Group *Group
	// Weight is relative to the weights of the rule's other targets.
	Weight int
}

// Group is a compiled group with the current picker of its balancer policy.
type Group struct {
	// Config is the group as published.
	Config *config.Group
	// Picker selects among the members that accept new requests.
	Picker balancer.Picker
	// Upstreams are the members that Picker selects from. The slice must not be
	// modified.
	Upstreams []*balancer.Upstream
	// Lifecycle is the version of the upstreams' lifecycle that Picker reflects.
	Lifecycle uint64
}

// Groups provides the compiled groups. The implementation preserves policies and
// upstream records across changes of the configuration.
type Groups interface {
	// Group returns the compiled group for a group of a service.
	Group(s *config.Service, g *config.Group) *Group
}

// Compile builds a table. If two services have the same match, the one whose name
// sorts first wins, so that all entry hosts route alike. An unserved service whose path is
// unknown precedes all others.
func Compile(revision uint64, services []*config.Service, groups Groups) *Table {
	t := &Table{Revision: revision}
	for _, s := range services {
		t.services = append(t.services, compileService(s, groups))
	}
	slices.SortStableFunc(t.services, func(a, b *Service) int {
		return cmp.Or(
			cmp.Compare(len(b.Config.Match.PathPrefix), len(a.Config.Match.PathPrefix)),
			cmp.Compare(len(b.Config.Match.Host), len(a.Config.Match.Host)),
			cmp.Compare(a.Config.Name, b.Config.Name),
		)
	})
	t.index = newIndex(t.services)
	return t
}

func compileService(s *config.Service, groups Groups) *Service {
	compiled := &Service{Config: s}
	if s.Unserved != "" {
		compiled.rules = []*Rule{{Config: &unserved, Service: s}}
		return compiled
	}
	byName := make(map[string]*Group, len(s.Groups))
	for i := range s.Groups {
		byName[s.Groups[i].Name] = groups.Group(s, &s.Groups[i])
	}
	for i := range s.Rules {
		r := &s.Rules[i]
		rule := &Rule{Config: r, Service: s}
		for _, share := range r.Shares() {
			rule.Targets = append(rule.Targets, Target{Group: byName[share.Group], Weight: share.Weight})
		}
		compiled.rules = append(compiled.rules, rule)
	}
	return compiled
}

// Route returns the rule that matches a request, or nil. Host is the Host header;
// its port, if any, is ignored unless a service has a host with that port.
func (t *Table) Route(method, host, path string) *Rule {
	s := t.index.find(t.index.matchHost(host), path)
	if s == nil {
		return nil
	}
	return s.rule(method, path)
}

func (s *Service) rule(method, path string) *Rule {
	for _, r := range s.rules {
		if len(r.Config.Methods) > 0 && !slices.Contains(r.Config.Methods, method) {
			continue
		}
		if strings.HasPrefix(path, r.Config.PathPrefix) {
			return r
		}
	}
	return nil
}

// Rules returns the compiled rules in matching order.
func (s *Service) Rules() []*Rule { return s.rules }

// Services returns the compiled services in match order.
func (t *Table) Services() []*Service { return t.services }
