// Package operator implements the operator API of an entry host over gRPC.
//
// The API is read-only: plans are computed from the current configuration, which is
// read through ConfigSource, and are not applied. The package depends on the daemon through
// narrow interfaces only; their methods are called from gRPC goroutines and must be safe
// for concurrent use.
package operator

import (
	"context"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/internal/events"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

// ConfigSource provides the current configuration.
type ConfigSource interface {
	// Current returns an immutable snapshot of the current configuration, or nil while there
	// is none.
	Current() *plan.State
}

// MemberState is the state of an entry host in the membership.
type MemberState string

// The states of a member.
const (
	Alive   MemberState = "alive"
	Suspect MemberState = "suspect"
	Leaving MemberState = "leaving"
	Dead    MemberState = "dead"
	// Unknown is the state of a host that the platform lists and that is not known to the
	// membership.
	Unknown MemberState = "unheard"
)

// Member is an entry host as this host's membership view shows it.
type Member struct {
	// Host is the entry host's IP address, as in its events.
	Host string
	// PeerAddress is the address for its peers, "IP:port".
	PeerAddress string
	// FailureDomain is the failure domain that it runs in.
	FailureDomain string
	// State is its state in the membership.
	State MemberState
	// Incarnation increases with each start of the host's process.
	Incarnation uint64
	// Revision and Digest identify the host's current configuration as last received from it.
	Revision, Digest uint64
	// Self is true for the host that serves the call.
	Self bool
}

// FleetView provides the entry hosts, including this one.
type FleetView interface {
	Members() []Member
}

// HostView provides metrics of this process.
type HostView interface {
	// InFlight is the number of callers' requests in flight.
	InFlight() int64
}

// UpstreamView provides the upstreams as this host sees them.
type UpstreamView interface {
	// Upstreams returns the upstreams of a service, or of all services if the name is empty.
	Upstreams(service string) []*operatorv1.UpstreamStatus
}

// EventStore provides the decision events of this host. *events.Ring implements it.
type EventStore interface {
	Lookup(request string) []event.Event
	Recent(f events.Filter, limit int) []event.Event
	Subscribe(f events.Filter, buffer int) *events.Subscription
	Stats() events.Stats
}

// Peers queries other entry hosts.
type Peers interface {
	// Events returns the events of a request that the host has kept.
	Events(ctx context.Context, m Member, request string) ([]*operatorv1.Event, error)
	// Plans returns the recent plans of a document that the host issued.
	Plans(ctx context.Context, m Member, key string) ([]*operatorv1.IssuedPlan, error)
	// Status returns the host's status as it reports it.
	Status(ctx context.Context, m Member) (*operatorv1.HostStatus, error)
}
