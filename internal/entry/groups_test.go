package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

func groupOf(policy string, ids ...string) *config.Group {
	g := &config.Group{Name: "main", Policy: policy}
	for _, id := range ids {
		g.Upstreams = append(g.Upstreams, config.Upstream{ID: id, Address: id, Slots: 3, State: config.Active})
	}
	return g
}

func TestGroupKeepsRecordsOverChanges(t *testing.T) {
	is := is.New(t)
	s := newGroupStore()
	svc := &config.Service{Name: "catalogue"}
	key := groupKey{"catalogue", "main"}

	s.Group(svc, groupOf("spindle", "a", "b"))
	a := s.groups[key].upstreams["a"]
	is.True(a.Added.IsZero()) // there from the start

	s.Group(svc, groupOf("spindle", "a", "c"))
	is.Equal(s.groups[key].upstreams["a"], a)                         // the same record
	is.True(!s.groups[key].upstreams["c"].Added.IsZero())             // starts slowly
	is.Equal(s.groups[key].upstreams["b"], (*balancer.Upstream)(nil)) // forgotten

	s.Group(svc, groupOf("random", "a"))
	is.Equal(s.groups[key].policyName, "random")
}

func TestGroupBindsWhileThereIsNoQueue(t *testing.T) {
	is := is.New(t)
	s := newGroupStore()
	g := s.Group(&config.Service{Name: "catalogue"}, groupOf("no-such-policy", "a"))
	for range 20 {
		res, err := g.Picker.Pick(balancer.PickInfo{})
		is.NoErr(err)
		res.Upstream.Start()
	}
}
