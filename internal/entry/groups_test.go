package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/lifecycle"
)

func groupOf(policy string, ids ...string) *config.Group {
	g := &config.Group{Name: "main", Policy: policy}
	for _, id := range ids {
		g.Upstreams = append(g.Upstreams, config.Upstream{ID: id, Address: id, Slots: 3, State: config.Active})
	}
	return g
}

// groupFleet is a group store with the registry that provides its lifecycle.
type groupFleet struct {
	store    *groupStore
	registry *lifecycle.Registry
	service  config.Service
	revision uint64
}

func newGroupFleet() *groupFleet {
	return &groupFleet{
		store:    newGroupStore("10.0.0.1", "caruaru"),
		registry: lifecycle.NewRegistry(lifecycle.DefaultConfig(), event.Discard{}),
		service:  config.Service{Name: "catalogue"},
	}
}

// publish makes a document the current one and returns the picker of its group.
func (f *groupFleet) publish(g *config.Group) balancer.Picker {
	f.revision++
	f.service.Groups = []config.Group{*g}
	f.registry.Configure(time.Now(), f.service.Name, f.revision, lifecycle.UpstreamSpecs(&f.service, activation))
	f.store.lifecycle, _ = f.registry.Flush()
	return f.store.Group(&f.service, g).Picker
}

func (f *groupFleet) state() *groupState { return f.store.groups[groupKey{"catalogue", "main"}] }

func TestGroupKeepsRecordsOverChanges(t *testing.T) {
	is := is.New(t)
	f := newGroupFleet()
	f.publish(groupOf("spindle", "a", "b"))
	a := f.state().upstreams["a"]
	is.True(a.Added.IsZero()) // member since the group was created

	f.publish(groupOf("spindle", "a", "c"))
	is.Equal(f.state().upstreams["a"], a)                         // the same record
	is.True(!f.state().upstreams["c"].Added.IsZero())             // gets a slow start
	is.Equal(f.state().upstreams["b"], (*balancer.Upstream)(nil)) // forgotten

	f.publish(groupOf("random", "a"))
	is.Equal(f.state().policyName, "random")
}

func TestGroupFallsBackFromUnknownPolicy(t *testing.T) {
	is := is.New(t)
	res, err := newGroupFleet().publish(groupOf("no-such-policy", "a")).Pick(balancer.PickInfo{})
	is.NoErr(err)
	is.Equal(res.Upstream.ID, "a")
}

func TestGroupExcludesLeavingUpstreams(t *testing.T) {
	is := is.New(t)
	f := newGroupFleet()
	f.publish(groupOf("random", "a", "b"))
	f.registry.RecordLeaving(time.Now(), lifecycle.UpstreamKey{Service: "catalogue", Upstream: "a"}, 0)
	picker := f.publish(groupOf("random", "a", "b")) // the document still lists a as active
	for i := range 50 {
		res, err := picker.Pick(balancer.PickInfo{Random: uint64(i) << 56})
		is.NoErr(err)
		is.Equal(res.Upstream.ID, "b")
	}
	picker = f.publish(groupOf("random", "a"))
	_, err := picker.Pick(balancer.PickInfo{})
	is.Equal(err, balancer.ErrNoUpstream)
}

func TestGroupKeepsPickerWhenUnchanged(t *testing.T) {
	is := is.New(t)
	f := newGroupFleet()
	g := groupOf("random", "a", "b")
	picker := f.publish(g)
	other := config.Service{Name: "ledger", Groups: []config.Group{*groupOf("random", "x")}}
	f.registry.Configure(time.Now(), other.Name, 1, lifecycle.UpstreamSpecs(&other, activation))
	f.store.lifecycle, _ = f.registry.Flush()

	kept := f.store.Group(&f.service, g)
	is.Equal(kept.Picker, picker)                       // another service changed
	is.Equal(kept.Lifecycle, f.store.lifecycle.Version) // but the group reflects the newest lifecycle

	f.registry.RecordLeaving(time.Now(), lifecycle.UpstreamKey{Service: "catalogue", Upstream: "a"}, 0)
	f.store.lifecycle, _ = f.registry.Flush()
	left := f.store.Group(&f.service, g).Picker
	is.True(left != picker) // one of its upstreams is leaving
	is.True(f.store.setFleet(1, 2))
	is.True(f.store.Group(&f.service, g).Picker != left) // the policy was rebuilt
}

func TestGroupsOfRemovedServicesArePruned(t *testing.T) {
	is := is.New(t)
	e, snapshot := configuredEntry(t, fleetSize{services: 3, upstreams: 30})
	is.Equal(len(e.control.groups.groups), 3)
	kept := e.control.groups.groups[groupKey{"service-000", "main"}]
	snapshot.InForce = snapshot.InForce[:1]
	snapshot.Frontier++
	e.control.applyConfiguration(snapshot)
	is.Equal(len(e.control.groups.groups), 1)
	is.Equal(e.control.groups.groups[groupKey{"service-000", "main"}], kept)
}

// TestBackoffHoldsForTheServer checks that a backoff which a server asked for in one group
// holds in all groups that list the server, under any ID, including groups that list it later.
func TestBackoffHoldsForTheServer(t *testing.T) {
	is := is.New(t)
	f := newGroupFleet()
	f.publish(groupOf("spindle", "10.0.0.1:80", "10.0.0.2:80"))
	other := config.Service{Name: "ledger"}
	f.store.Group(&other, groupOf("random", "10.0.0.1:80"))
	now := time.Now()
	until := now.Add(time.Minute)
	f.store.extendBackoff("10.0.0.1:80", until)
	late := config.Service{Name: "photos"}
	f.store.Group(&late, groupOf("random", "10.0.0.1:80"))
	for _, service := range []string{"catalogue", "ledger", "photos"} {
		u := f.store.groups[groupKey{service, "main"}].upstreams["10.0.0.1:80"]
		is.Equal(u.Backoff.Delay(now), until.Sub(now))
	}
	is.Equal(f.state().upstreams["10.0.0.2:80"].Backoff.Delay(now), time.Duration(0))
}
