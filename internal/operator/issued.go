package operator

import (
	"context"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/types/known/timestamppb"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

// issuedPlans returns the recent plans of a document on this host and on the
// peers that are alive. A peer that gives no answer is passed over: the plans
// only make an answer more telling.
func (s *Server) issuedPlans(ctx context.Context, key string) []issuedPlan {
	out := s.history.plans(key)
	var peers []Member
	for _, m := range s.conf.Fleet.Members() {
		if m.State == Alive && !m.Self {
			peers = append(peers, m)
		}
	}
	var mu sync.Mutex
	s.askAll(ctx, peers, func(ctx context.Context, _ int, m Member) {
		list, err := s.conf.Peers.Plans(ctx, m, key)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, p := range list {
			out = append(out, issuedFrom(key, p))
		}
	})
	slices.SortStableFunc(out, func(a, b issuedPlan) int { return a.at.Compare(b.at) })
	return out
}

func issuedFrom(key string, p *operatorv1.IssuedPlan) issuedPlan {
	b := p.GetBase()
	return issuedPlan{
		key:    key,
		base:   plan.Base{Revision: b.GetRevision(), Digest: b.GetDigest()},
		digest: p.GetDigest(),
		by:     p.GetOperator(),
		at:     p.GetAt().AsTime(),
	}
}

// LookupPlans implements operatorv1.PeerServer.
func (s *Server) LookupPlans(_ context.Context, req *operatorv1.LookupPlansRequest) (*operatorv1.LookupPlansResponse, error) {
	out := &operatorv1.LookupPlansResponse{}
	for _, p := range s.history.plans(req.GetKey()) {
		out.Plans = append(out.Plans, &operatorv1.IssuedPlan{Base: base(p.base), Digest: p.digest, Operator: p.by, At: timestamppb.New(p.at)})
	}
	return out, nil
}

// pending returns the plans of others from the same version that differ from mine.
func pending(list []issuedPlan, mine issuedPlan) []issuedPlan {
	return slices.DeleteFunc(slices.Clone(list), func(o issuedPlan) bool {
		return o.base != mine.base || o.digest == mine.digest || o.by == mine.by || mine.at.Sub(o.at) >= pendingFor
	})
}

// plannedBy names those who planned the version; any of them may have
// published it. It is empty if nobody on the list did.
func plannedBy(list []issuedPlan, digest uint64) string {
	var names []string
	known := false
	for _, p := range list {
		if p.digest != digest {
			continue
		}
		known = true
		if p.by != "" && !slices.Contains(names, p.by) {
			names = append(names, p.by)
		}
	}
	if known && len(names) == 0 {
		return anonymous
	}
	return strings.Join(names, " or ")
}
