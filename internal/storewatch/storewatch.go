// Package storewatch follows what a store publishes: the operators' configuration
// and the upstreams that register themselves.
//
// Store is the seam to a deployment's own store; its implementations know
// names and formats and decide nothing. Watcher decides when to read, what
// to believe and when to try again.
package storewatch

import (
	"context"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/discovery"
	"github.com/dapplespindle/dapplespindle/pkg/evacuation"
	"github.com/dapplespindle/dapplespindle/pkg/storesync"
)

// Store reads what is published. Calls end with their context.
type Store interface {
	// ReadInitial returns the configuration, the evacuations, some of the upstreams, and the
	// revision of the first two. It takes far less than everything where there are many
	// upstreams.
	ReadInitial(ctx context.Context) (*State, error)
	// ReadAll returns everything. Begun is what Begin returned; the revision stays, and a
	// watch from there misses nothing.
	ReadAll(ctx context.Context, begun *State) (*State, error)
	// Watch returns the changes after a revision, waiting up to wait for one. The
	// error is ErrHistoryLost when the store no longer has all of them.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error)
	// Revision returns the store's revision.
	Revision(ctx context.Context) (uint64, error)
	// Ping makes the cheapest call that shows that the store answers.
	Ping(ctx context.Context) error
}

// ErrHistoryLost says that changes were missed; everything must be read anew.
var ErrHistoryLost = storesync.ErrHistoryLost

// State is everything that is published.
type State struct {
	// Revision is the store's at or before the first read.
	Revision uint64
	// Configuration is the newest one, nil if there is none.
	Configuration *config.Configuration
	// Evacuated are the failure domains that are to get nothing new.
	Evacuated []evacuation.Domain `json:",omitempty"`
	// Upstreams are the registered upstreams.
	Upstreams []discovery.Upstream
	// Rejected are the items that could not be decoded. Peers are not told of them.
	Rejected []Rejected `json:"-"`
	// Large states of a first part that the rest takes many calls.
	Large bool `json:"-"`
}

// Changes are what happened after a revision, oldest first.
type Changes struct {
	// Revision is where the next watch goes on.
	Revision uint64
	// Configurations are those that were published.
	Configurations []*config.Configuration
	// Events are the changes of upstreams and of evacuations.
	Events []Event
	// Items counts what the store told of, also of what is of no interest here. A
	// watch that ends without any says nothing of Revision.
	Items int `json:"-"`
	// Rejected are the items that could not be decoded. Peers are not told of them.
	Rejected []Rejected `json:"-"`
}

// Event is one change: an upstream's entry, the end of one, or an evacuation.
type Event struct {
	// Evacuation is the beginning or end of one; nil for a change of an upstream.
	Evacuation *evacuation.Change `json:",omitempty"`
	// Upstream is the new entry; nil when it was removed.
	Upstream *discovery.Upstream
	// Removed is the id of an upstream whose entry is gone.
	Removed string
	// Revision is the store's revision of the change.
	Revision uint64
}

// Rejected is a published item that could not be decoded.
type Rejected struct {
	// Item names it.
	Item string
	// Revision is its revision.
	Revision uint64
	// Reason names the field and the problem.
	Reason string
}
