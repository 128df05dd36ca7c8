package operator

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

// Follow implements operatorv1.OperatorServer. It checks the fleet every PollInterval and
// sends an update when something has changed.
func (s *Server) Follow(req *operatorv1.FollowRequest, stream grpc.ServerStreamingServer[operatorv1.FollowUpdate]) error {
	r, err := s.newRollout(req)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(s.conf.PollInterval)
	defer ticker.Stop()
	var last *operatorv1.FollowUpdate
	for {
		state, err := s.state()
		if err != nil {
			return err
		}
		update := r.check(state, s.conf.Fleet.Members())
		if update.GetState() == operatorv1.FollowUpdate_STATE_SUPERSEDED {
			update.PlannedBy = plannedBy(s.issuedPlans(stream.Context(), req.GetKey()).plans, update.GetCurrent().GetDigest())
		}
		if !proto.Equal(update, last) {
			if err := send(stream, update); err != nil {
				return err
			}
			last = update
		}
		if final(update.GetState()) {
			return nil
		}
		select {
		case <-stream.Context().Done():
			return status.FromContextError(stream.Context().Err()).Err()
		case <-ticker.C:
		}
	}
}

// send sends a copy of the update with the current time. The time is not set on the
// original, so that updates can be compared without it.
func send(stream grpc.ServerStreamingServer[operatorv1.FollowUpdate], update *operatorv1.FollowUpdate) error {
	timed := proto.CloneOf(update)
	timed.At = timestamppb.Now()
	return stream.Send(timed)
}

func final(s operatorv1.FollowUpdate_State) bool {
	return s == operatorv1.FollowUpdate_STATE_IN_FORCE || s == operatorv1.FollowUpdate_STATE_SUPERSEDED
}

// rollout tracks the progress of one document version over the fleet.
type rollout struct {
	service  string
	digest   uint64
	revision uint64
	base     uint64
	// target is the revision with which the document came into force on this host; 0 until
	// then.
	target uint64
	// cached is the document that cachedDigest belongs to, so that the digest isn't computed
	// on each check.
	cached       *config.Service
	cachedDigest uint64
}

func (s *Server) newRollout(req *operatorv1.FollowRequest) (*rollout, error) {
	service, ok := strings.CutPrefix(req.GetKey(), plan.KeyPrefix)
	if !ok {
		return nil, status.Errorf(codes.InvalidArgument, "key: %q does not start with %s", req.GetKey(), plan.KeyPrefix)
	}
	state, err := s.state()
	if err != nil {
		return nil, err
	}
	r := &rollout{service: service, digest: req.GetDigest(), revision: req.GetRevision()}
	switch doc := state.Find(service); {
	case req.BaseRevision != nil:
		r.base = req.GetBaseRevision()
	case doc != nil:
		r.base = doc.Revision
	}
	return r, nil
}

// check compares the document version with the given state and returns its progress.
func (r *rollout) check(state *plan.State, members []Member) *operatorv1.FollowUpdate {
	doc := state.Find(r.service)
	update := &operatorv1.FollowUpdate{
		State:   operatorv1.FollowUpdate_STATE_AWAITED,
		Current: r.current(doc),
	}
	switch {
	case r.reached(state, doc):
		r.countHosts(update, state, members)
	case r.superseded(state, doc):
		update.State = operatorv1.FollowUpdate_STATE_SUPERSEDED
	default:
		r.listAllAsLagging(update, members)
	}
	return update
}

func (r *rollout) current(doc *plan.Document) *operatorv1.Version {
	if doc == nil {
		return &operatorv1.Version{}
	}
	if r.cached != doc.Service {
		r.cached = doc.Service
		r.cachedDigest = plan.Digest(doc.Service)
	}
	return &operatorv1.Version{Revision: doc.Revision, Digest: r.cachedDigest}
}

// reached reports whether the document version is in force on this host, and sets target
// to the revision that the other hosts must reach.
func (r *rollout) reached(state *plan.State, doc *plan.Document) bool {
	switch {
	case r.digest != 0:
		if doc == nil || r.cachedDigest != r.digest || doc.Revision < r.base {
			return false
		}
		r.target = doc.Revision
		return true
	case r.revision != 0:
		r.target = r.revision
		return state.Revision >= r.revision && (doc == nil || doc.Revision <= r.revision)
	default:
		if doc != nil || state.Revision <= r.base {
			return false
		}
		if r.target == 0 {
			r.target = state.Revision
		}
		return true
	}
}

// superseded reports whether a different version came into force instead of the expected
// one.
func (r *rollout) superseded(state *plan.State, doc *plan.Document) bool {
	if r.revision != 0 && r.digest == 0 {
		return doc != nil && doc.Revision > r.revision
	}
	if doc != nil {
		return doc.Revision > max(r.base, r.target)
	}
	return r.base != 0 && state.Revision > r.base
}

// countHosts counts the entry hosts that have the document in force and lists the others
// as lagging.
func (r *rollout) countHosts(update *operatorv1.FollowUpdate, state *plan.State, members []Member) {
	for _, m := range members {
		reason := r.lagReason(state, m)
		switch {
		case m.State == Dead:
		case reason == "":
			update.HostsInForce++
		default:
			update.Lagging = append(update.Lagging, lagging(m, reason))
		}
	}
	update.State = operatorv1.FollowUpdate_STATE_IN_FORCE
	if len(update.Lagging) > 0 {
		update.State = operatorv1.FollowUpdate_STATE_SPREADING
	}
}

// lagReason returns why a host does not count as having the document in force, or "" if it
// does.
func (r *rollout) lagReason(state *plan.State, m Member) string {
	switch {
	case m.Self:
		return ""
	case m.State == Unknown:
		return "on the platform's list, never heard of"
	case m.Revision < r.target && m.State == Suspect:
		return fmt.Sprintf("not heard of; last at revision %d, before %d", m.Revision, r.target)
	case m.Revision < r.target:
		return fmt.Sprintf("at revision %d, before %d", m.Revision, r.target)
	case m.Revision == state.Revision && m.Digest != state.Digest:
		return "at the same revision with other content"
	default:
		return ""
	}
}

// listAllAsLagging lists every host that is not dead as lagging, because the document is
// not in force on this host either.
func (r *rollout) listAllAsLagging(update *operatorv1.FollowUpdate, members []Member) {
	for _, m := range members {
		if m.State != Dead {
			update.Lagging = append(update.Lagging, lagging(m, "not in force on the answering host either"))
		}
	}
}

func lagging(m Member, reason string) *operatorv1.LaggingHost {
	return &operatorv1.LaggingHost{Host: m.Host, FailureDomain: m.FailureDomain, Revision: m.Revision, Reason: reason}
}
