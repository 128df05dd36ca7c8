package operator

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

// Published is a ConfigSource that returns the snapshot that the control goroutine stored
// last.
type Published struct {
	state atomic.Pointer[plan.State]
}

// Store replaces the snapshot, which must not be changed afterwards.
func (p *Published) Store(s *plan.State) { p.state.Store(s) }

// Current implements ConfigSource.
func (p *Published) Current() *plan.State { return p.state.Load() }

// SingleHost is a FleetView of one entry host without peers.
type SingleHost struct {
	// Member is this host; its revision and digest are read from Source.
	Member Member
	// Source provides this host's current configuration.
	Source ConfigSource
}

// Members implements FleetView.
func (s SingleHost) Members() []Member {
	m := s.Member
	m.Self = true
	if state := s.Source.Current(); state != nil {
		m.Revision = state.Revision
		m.Digest = state.Digest
	}
	return []Member{m}
}

// NoPeers is a Peers without connections: every call fails.
type NoPeers struct{}

var errNoPeers = errors.New("this entry host has no connection to its peers")

// Events implements Peers.
func (NoPeers) Events(context.Context, Member, string) ([]*operatorv1.Event, error) {
	return nil, errNoPeers
}

// Plans implements Peers.
func (NoPeers) Plans(context.Context, Member, string) ([]*operatorv1.IssuedPlan, error) {
	return nil, errNoPeers
}

// Status implements Peers.
func (NoPeers) Status(context.Context, Member) (*operatorv1.HostStatus, error) {
	return nil, errNoPeers
}

// ConfiguredUpstreams is an UpstreamView of the upstreams in the current configuration.
type ConfiguredUpstreams struct {
	// Source provides the current configuration.
	Source ConfigSource
	// Observe, if not nil, adds what this host has observed about an upstream.
	Observe func(service, group string, out *operatorv1.UpstreamStatus)
}

// Upstreams implements UpstreamView.
func (c ConfiguredUpstreams) Upstreams(service string) []*operatorv1.UpstreamStatus {
	state := c.Source.Current()
	if state == nil {
		return nil
	}
	var out []*operatorv1.UpstreamStatus
	for _, d := range sortedDocuments(state) {
		if service != "" && d.Service.Name != service {
			continue
		}
		for i := range d.Service.Groups {
			out = c.group(out, d.Service.Name, &d.Service.Groups[i])
		}
	}
	return out
}

func (c ConfiguredUpstreams) group(out []*operatorv1.UpstreamStatus, service string, g *config.Group) []*operatorv1.UpstreamStatus {
	for i := range g.Upstreams {
		u := &g.Upstreams[i]
		s := &operatorv1.UpstreamStatus{
			Service:       service,
			Group:         g.Name,
			Id:            u.ID,
			Address:       u.Address,
			FailureDomain: u.FailureDomain,
			State:         string(u.State),
			Slots:         uint32(u.Slots),
		}
		if c.Observe != nil {
			c.Observe(service, g.Name, s)
		}
		out = append(out, s)
	}
	return out
}
