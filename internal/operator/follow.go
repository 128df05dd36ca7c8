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

// Follow implements operatorv1.OperatorServer. It looks at the fleet each
// PollEvery and sends an update when something changed.
func (s *Server) Follow(req *operatorv1.FollowRequest, stream grpc.ServerStreamingServer[operatorv1.FollowUpdate]) error {
	f, err := s.newFollower(req)
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
		update := f.step(state, s.conf.Fleet.Members())
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

// send adds the time to a copy, so that updates can be compared without it.
func send(stream grpc.ServerStreamingServer[operatorv1.FollowUpdate], update *operatorv1.FollowUpdate) error {
	timed := proto.CloneOf(update)
	timed.At = timestamppb.Now()
	return stream.Send(timed)
}

func final(s operatorv1.FollowUpdate_State) bool {
	return s == operatorv1.FollowUpdate_STATE_IN_FORCE || s == operatorv1.FollowUpdate_STATE_SUPERSEDED
}

// follower tells how far one document has come.
type follower struct {
	service  string
	digest   uint64
	revision uint64
	base     uint64
	// target is the revision that brought the document into force here; 0 until then.
	target uint64
	// cached spares computing a digest at each look.
	cached       *config.Service
	cachedDigest uint64
}

func (s *Server) newFollower(req *operatorv1.FollowRequest) (*follower, error) {
	service, ok := strings.CutPrefix(req.GetKey(), plan.KeyPrefix)
	if !ok {
		return nil, status.Errorf(codes.InvalidArgument, "key: %q does not start with %s", req.GetKey(), plan.KeyPrefix)
	}
	state, err := s.state()
	if err != nil {
		return nil, err
	}
	f := &follower{service: service, digest: req.GetDigest(), revision: req.GetRevision()}
	switch doc := state.Find(service); {
	case req.BaseRevision != nil:
		f.base = req.GetBaseRevision()
	case doc != nil:
		f.base = doc.Revision
	}
	return f, nil
}

// step looks once.
func (f *follower) step(state *plan.State, members []Member) *operatorv1.FollowUpdate {
	doc := state.Find(f.service)
	update := &operatorv1.FollowUpdate{
		State:   operatorv1.FollowUpdate_STATE_AWAITED,
		Current: f.current(doc),
	}
	switch {
	case f.reached(state, doc):
		f.spread(update, state, members)
	case f.superseded(state, doc):
		update.State = operatorv1.FollowUpdate_STATE_SUPERSEDED
	default:
		f.behind(update, members)
	}
	return update
}

func (f *follower) current(doc *plan.Document) *operatorv1.Version {
	if doc == nil {
		return &operatorv1.Version{}
	}
	if f.cached != doc.Service {
		f.cached = doc.Service
		f.cachedDigest = plan.Digest(doc.Service)
	}
	return &operatorv1.Version{Revision: doc.Revision, Digest: f.cachedDigest}
}

// reached reports whether the document is in force on this host, and notes the
// revision that other hosts must reach.
func (f *follower) reached(state *plan.State, doc *plan.Document) bool {
	switch {
	case f.digest != 0:
		if doc == nil || f.cachedDigest != f.digest || doc.Revision < f.base {
			return false
		}
		f.target = doc.Revision
		return true
	case f.revision != 0:
		f.target = f.revision
		return state.Revision >= f.revision && (doc == nil || doc.Revision <= f.revision)
	default:
		if doc != nil || state.Revision <= f.base {
			return false
		}
		if f.target == 0 {
			f.target = state.Revision
		}
		return true
	}
}

// superseded reports whether another version than the awaited one won.
func (f *follower) superseded(state *plan.State, doc *plan.Document) bool {
	if f.revision != 0 && f.digest == 0 {
		return doc != nil && doc.Revision > f.revision
	}
	if doc != nil {
		return doc.Revision > max(f.base, f.target)
	}
	return f.base != 0 && state.Revision > f.base
}

// spread counts the entry hosts that have the document and names the others.
func (f *follower) spread(update *operatorv1.FollowUpdate, state *plan.State, members []Member) {
	for _, m := range members {
		reason := f.lagReason(state, m)
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

// lagReason says why a host does not count as having the document in force.
func (f *follower) lagReason(state *plan.State, m Member) string {
	switch {
	case m.Self:
		return ""
	case m.State == Unheard:
		return "on the platform's list, never heard of"
	case m.Revision < f.target && m.State == Suspect:
		return fmt.Sprintf("not heard of; last at revision %d, before %d", m.Revision, f.target)
	case m.Revision < f.target:
		return fmt.Sprintf("at revision %d, before %d", m.Revision, f.target)
	case m.Revision == state.Revision && m.Digest != state.Digest:
		return "at the same revision with other content"
	default:
		return ""
	}
}

// behind names every live host while the document isn't in force even here.
func (f *follower) behind(update *operatorv1.FollowUpdate, members []Member) {
	for _, m := range members {
		if m.State != Dead {
			update.Lagging = append(update.Lagging, lagging(m, "not in force on the answering host either"))
		}
	}
}

func lagging(m Member, reason string) *operatorv1.LaggingHost {
	return &operatorv1.LaggingHost{Host: m.Host, FailureDomain: m.FailureDomain, Revision: m.Revision, Reason: reason}
}
