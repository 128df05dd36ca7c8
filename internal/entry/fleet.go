package entry

import (
	"github.com/dapplespindle/dapplespindle/internal/operator"
	"github.com/dapplespindle/dapplespindle/internal/proxy"
	"github.com/dapplespindle/dapplespindle/pkg/configsync"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

// configMembers provides the configuration feed with the entry hosts that are not known
// to be dead. It returns false until a host list or a message from a peer has arrived.
func (e *Entry) configMembers() ([]configsync.Member, bool) {
	s := e.members.Snapshot()
	if !s.Joined {
		return nil, false
	}
	out := make([]configsync.Member, 0, len(s.Members))
	for i := range s.Members {
		m := &s.Members[i]
		if m.State != membership.Dead {
			out = append(out, configsync.Member{Address: m.Address.String(), FailureDomain: m.FailureDomain})
		}
	}
	return out, true
}

// peerAddresses returns the other entry hosts that are not known to be dead.
func (e *Entry) peerAddresses() []string {
	s := e.members.Snapshot()
	out := make([]string, 0, len(s.Members))
	for i := range s.Members {
		m := &s.Members[i]
		if m.State != membership.Dead && m.Address != s.Self.Address {
			out = append(out, m.Address.String())
		}
	}
	return out
}

// slotOrder returns the addresses of all hosts in the order of their time slots; empty
// for those considered dead, which lend no time slots.
func (e *Entry) slotOrder() []string {
	s := e.members.Snapshot()
	out := make([]string, len(s.Members))
	for i := range s.Members {
		if s.Members[i].State != membership.Dead {
			out[i] = s.Members[i].Address.String()
		}
	}
	return out
}

// reportPeerLimits emits an event for each limit that a peer's update has changed.
func (e *Entry) reportPeerLimits(changed []*ratelimit.State) {
	for _, s := range changed {
		e.emit(proxy.LimitEvent(s.ID(), s.Limit(), ratelimit.Peer))
	}
}

// fleetView implements operator.FleetView over the membership.
type fleetView struct {
	entry *Entry
}

// Members implements operator.FleetView.
func (v fleetView) Members() []operator.Member {
	s := v.entry.members.Snapshot()
	out := make([]operator.Member, 0, len(s.Members))
	for i := range s.Members {
		m := &s.Members[i]
		member := operator.Member{
			Host:          m.Address.String(),
			PeerAddress:   m.Address.String(),
			FailureDomain: m.FailureDomain,
			State:         operator.MemberState(m.Status()),
			Incarnation:   m.Incarnation,
			Self:          m.Address == s.Self.Address,
		}
		if w, err := v.watermark(m, member.Self); err == nil {
			member.Revision = w.Frontier
			member.Digest = w.Digest
		}
		out = append(out, member)
	}
	for _, a := range s.UnknownHosts {
		out = append(out, operator.Member{Host: a.String(), PeerAddress: a.String(), State: operator.Unknown})
	}
	return out
}

func (v fleetView) watermark(m *membership.Member, self bool) (configsync.Watermark, error) {
	if self {
		return v.entry.feed.Watermark(), nil
	}
	return configsync.DecodeWatermark(m.Metadata)
}
