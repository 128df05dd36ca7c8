package plan

import (
	"slices"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// Edit is a change of a service document. It is applied to a copy. A nil document
// does not exist; apply returns nil to delete the document.
type Edit interface {
	apply(s *config.Service) (*config.Service, error)
}

// PutService creates the document or replaces it as a whole.
type PutService struct {
	// Service is the new document.
	Service *config.Service
	// MustCreate fails with an *ExistsError if the document exists.
	MustCreate bool
}

func (e PutService) apply(s *config.Service) (*config.Service, error) {
	if s != nil && e.MustCreate {
		return nil, &ExistsError{"service", s.Name}
	}
	return clone(e.Service), nil
}

// DeleteService removes the document.
type DeleteService struct{}

func (DeleteService) apply(s *config.Service) (*config.Service, error) { return nil, nil }

// PutGroup adds a group or replaces the group with the same name.
type PutGroup struct {
	// Group is the new group.
	Group config.Group
}

func (e PutGroup) apply(s *config.Service) (*config.Service, error) {
	if i := groupIndex(s, e.Group.Name); i >= 0 {
		s.Groups[i] = e.Group
		return s, nil
	}
	s.Groups = append(s.Groups, e.Group)
	return s, nil
}

// DeleteGroup removes a group. The plan is invalid if a rule refers to the group.
type DeleteGroup struct {
	// Group is the name of the group.
	Group string
}

func (e DeleteGroup) apply(s *config.Service) (*config.Service, error) {
	i := groupIndex(s, e.Group)
	if i < 0 {
		return nil, &NotFoundError{"group", e.Group}
	}
	s.Groups = slices.Delete(s.Groups, i, i+1)
	return s, nil
}

// PutRule adds a rule or replaces the rule with the same name.
type PutRule struct {
	// Rule is the new rule.
	Rule config.Rule
	// Before names the rule in front of which the new one is inserted. If it is
	// empty, a replaced rule keeps its position and an added one becomes the last.
	Before string
}

func (e PutRule) apply(s *config.Service) (*config.Service, error) {
	if i := ruleIndex(s, e.Rule.Name); i >= 0 {
		if e.Before == "" {
			s.Rules[i] = e.Rule
			return s, nil
		}
		s.Rules = slices.Delete(s.Rules, i, i+1)
	}
	at := len(s.Rules)
	if e.Before != "" {
		at = ruleIndex(s, e.Before)
	}
	if at < 0 {
		return nil, &NotFoundError{"rule", e.Before}
	}
	s.Rules = slices.Insert(s.Rules, at, e.Rule)
	return s, nil
}

// DeleteRule removes a rule.
type DeleteRule struct {
	// Rule is the name of the rule.
	Rule string
}

func (e DeleteRule) apply(s *config.Service) (*config.Service, error) {
	i := ruleIndex(s, e.Rule)
	if i < 0 {
		return nil, &NotFoundError{"rule", e.Rule}
	}
	s.Rules = slices.Delete(s.Rules, i, i+1)
	return s, nil
}

// SetUpstreamState drains or undrains an upstream in every group that lists it.
type SetUpstreamState struct {
	// Upstream is the ID of the upstream.
	Upstream string
	// State is the desired state.
	State config.UpstreamState
}

func (e SetUpstreamState) apply(s *config.Service) (*config.Service, error) {
	found := false
	for i := range s.Groups {
		for j := range s.Groups[i].Upstreams {
			if u := &s.Groups[i].Upstreams[j]; u.ID == e.Upstream {
				u.State = e.State
				found = true
			}
		}
	}
	if !found {
		return nil, &NotFoundError{"upstream", e.Upstream}
	}
	return s, nil
}

// SetUpstreams replaces the members of a group.
type SetUpstreams struct {
	// Group is the name of the group.
	Group string
	// Upstreams are the new members.
	Upstreams []config.Upstream
}

func (e SetUpstreams) apply(s *config.Service) (*config.Service, error) {
	i := groupIndex(s, e.Group)
	if i < 0 {
		return nil, &NotFoundError{"group", e.Group}
	}
	s.Groups[i].Upstreams = slices.Clone(e.Upstreams)
	return s, nil
}

func groupIndex(s *config.Service, name string) int {
	return slices.IndexFunc(s.Groups, func(g config.Group) bool { return g.Name == name })
}

func ruleIndex(s *config.Service, name string) int {
	return slices.IndexFunc(s.Rules, func(r config.Rule) bool { return r.Name == name })
}
