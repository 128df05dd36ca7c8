// Package storewatch watches what a store publishes: the operators' configuration and the
// upstreams that register themselves.
//
// Store is the interface to a deployment's own store; its implementations deal with names and
// formats only. Watcher decides when to read, which state to trust and when to retry.
package storewatch

import (
	"context"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/discovery"
	"github.com/dapplespindle/dapplespindle/pkg/evacuation"
	"github.com/dapplespindle/dapplespindle/pkg/storesync"
)

// Store reads the published state. Calls end with their context.
type Store interface {
	// ReadInitial returns the configuration, the evacuations, some of the upstreams, and the
	// revision of the first two. Where there are many upstreams it is far cheaper than a read
	// of the full state.
	ReadInitial(ctx context.Context) (*State, error)
	// ReadAll returns the full state. The argument initial is the result of ReadInitial; its
	// revision stays, and a watch from there misses nothing.
	ReadAll(ctx context.Context, initial *State) (*State, error)
	// Watch returns the changes after a revision, and waits up to wait for one. The error is
	// ErrHistoryLost when the store no longer has all of them.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error)
	// Revision returns the store's revision.
	Revision(ctx context.Context) (uint64, error)
	// Ping makes the cheapest call that shows whether the store answers.
	Ping(ctx context.Context) error
}

// ErrHistoryLost is returned when changes were missed and everything must be read again.
var ErrHistoryLost = storesync.ErrHistoryLost

// State is the full published state.
type State struct {
	// Revision is a revision of the store from before or at the first read.
	Revision uint64
	// Configuration is the newest configuration, nil if there is none.
	Configuration *config.Configuration
	// Evacuated are the failure domains that get no new requests.
	Evacuated []evacuation.Domain `json:",omitempty"`
	// Upstreams are the registered upstreams.
	Upstreams []discovery.Upstream
	// Rejected are the items that could not be decoded. They are not sent to peers.
	Rejected []Rejected `json:"-"`
	// Large is set on the result of ReadInitial when reading the rest takes many calls.
	Large bool `json:"-"`
}

// Changes are what happened after a revision, oldest first.
type Changes struct {
	// Revision is the revision from which the next watch continues.
	Revision uint64
	// Configurations are the published configurations.
	Configurations []*config.Configuration
	// Events are the changes of upstreams and of evacuations.
	Events []Event
	// Items counts all changed items that the store returned, including those that are not
	// relevant here. If a watch ends without any, Revision is meaningless.
	Items int `json:"-"`
	// Rejected are the items that could not be decoded. They are not sent to peers.
	Rejected []Rejected `json:"-"`
}

// Event is one change: a new or removed entry of an upstream, or an evacuation.
type Event struct {
	// Evacuation is the beginning or end of an evacuation; nil for a change of an upstream.
	Evacuation *evacuation.Change `json:",omitempty"`
	// Upstream is the new entry; nil when it was removed.
	Upstream *discovery.Upstream
	// Removed is the ID of an upstream whose entry was removed.
	Removed string
	// Revision is the store's revision of the change.
	Revision uint64
}

// Rejected is a published item that could not be decoded.
type Rejected struct {
	// Item is the name of the item.
	Item string
	// Revision is the revision of the item.
	Revision uint64
	// Reason names the field and the problem.
	Reason string
}
