package operator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/types/known/timestamppb"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

// issuedPlans are the recent plans of one document, oldest first.
type issuedPlans struct {
	plans []issuedPlan
	// unasked are the hosts that gave no answer, by name.
	unasked []unaskedHost
}

// unaskedHost is a host that could not be asked, and why.
type unaskedHost struct {
	host, reason string
}

// issuedPlans returns the recent plans of a document on this host and on all others,
// those included that only the platform's list names. Where a host is held for dead,
// operators may reach it all the same.
func (s *Server) issuedPlans(ctx context.Context, key string) issuedPlans {
	out := issuedPlans{plans: s.history.plans(key)}
	var peers []Member
	for _, m := range s.conf.Fleet.Members() {
		if !m.Self {
			peers = append(peers, m)
		}
	}
	var mu sync.Mutex
	s.askAll(ctx, peers, func(ctx context.Context, _ int, m Member) {
		list, err := s.conf.Peers.Plans(ctx, m, key)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			out.unasked = append(out.unasked, unaskedHost{m.Host, reason(err)})
			return
		}
		for _, p := range list {
			out.plans = append(out.plans, issuedFrom(key, p))
		}
	})
	slices.SortStableFunc(out.plans, func(a, b issuedPlan) int { return a.at.Compare(b.at) })
	slices.SortFunc(out.unasked, func(a, b unaskedHost) int { return cmp.Compare(a.host, b.host) })
	return out
}

// maxUnaskedNamed bounds the hosts that one warning names.
const maxUnaskedNamed = 4

// unaskedWarning says which hosts may know of plans that nobody told of; it is empty
// if all were asked.
func (p *issuedPlans) unaskedWarning() string {
	if len(p.unasked) == 0 {
		return ""
	}
	var named []string
	for _, u := range p.unasked[:min(len(p.unasked), maxUnaskedNamed)] {
		named = append(named, u.host+" ("+u.reason+")")
	}
	return fmt.Sprintf("%d entry hosts could not be asked for plans of other operators: %s",
		len(p.unasked), strings.Join(named, ", "))
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
