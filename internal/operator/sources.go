// Package operator serves the operators' RPC interface on an entry host.
//
// It changes nothing: plans are computed against the configuration in force,
// which it reads through ConfigSource. What it needs of the daemon it takes
// as narrow interfaces; their methods are called from gRPC goroutines and must
// be safe for use by several at once.
package operator

import (
	"context"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/internal/events"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

// ConfigSource gives the configuration in force.
type ConfigSource interface {
	// InForce returns an immutable snapshot, or nil while there is none.
	InForce() *plan.State
}

// MemberState is what the membership says of an entry host.
type MemberState string

// The states of a member.
const (
	Alive   MemberState = "alive"
	Suspect MemberState = "suspect"
	Leaving MemberState = "leaving"
	Dead    MemberState = "dead"
	// Unheard is a host that the platform lists and the membership knows nothing of.
	Unheard MemberState = "unheard"
)

// Member is one entry host as the membership sees it.
type Member struct {
	// Host identifies the entry host, by the IP that its events carry.
	Host string
	// PeerAddress is where its peers reach it, "IP:port".
	PeerAddress string
	// FailureDomain is where it runs.
	FailureDomain string
	// State is what the membership says.
	State MemberState
	// Incarnation grows with each start of the host's process.
	Incarnation uint64
	// Revision and Digest are the configuration in force there, as last heard.
	Revision, Digest uint64
	// Self is true for the host that answers.
	Self bool
}

// FleetView gives the entry hosts, the answering one included.
type FleetView interface {
	Members() []Member
}

// HostView gives this process's own numbers.
type HostView interface {
	// InFlight is the number of callers' requests in flight.
	InFlight() int64
}

// UpstreamView gives the upstreams as this host sees them.
type UpstreamView interface {
	// Upstreams returns those of one service, or of all for an empty name.
	Upstreams(service string) []*operatorv1.UpstreamStatus
}

// EventStore gives the decision events of this host. *events.Ring is one.
type EventStore interface {
	Lookup(request string) []event.Event
	Recent(f events.Filter, limit int) []event.Event
	Subscribe(f events.Filter, buffer int) *events.Subscription
	Stats() events.Stats
}

// Peers asks another entry host.
type Peers interface {
	// Events returns the kept events of a request there.
	Events(ctx context.Context, m Member, request string) ([]*operatorv1.Event, error)
	// Plans returns the recent plans of a document that the host answered.
	Plans(ctx context.Context, m Member, key string) ([]*operatorv1.IssuedPlan, error)
	// Status returns the host's own state.
	Status(ctx context.Context, m Member) (*operatorv1.HostStatus, error)
}
