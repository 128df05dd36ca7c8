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
	// unasked lists the hosts that could not be queried, sorted by host.
	unasked []unaskedHost
}

// unaskedHost is a host that could not be queried, with the reason.
type unaskedHost struct {
	host, reason string
}

// issuedPlans returns the recent plans of a document from this host and all others,
// including those that only the platform lists. Hosts that are considered dead are listed
// as not queried: operators may still be able to reach them and plan there.
func (s *Server) issuedPlans(ctx context.Context, key string) issuedPlans {
	out := issuedPlans{plans: s.history.plans(key)}
	var peers []Member
	for _, m := range s.conf.Fleet.Members() {
		if !m.Self {
			peers = append(peers, m)
		}
	}
	var mu sync.Mutex
	s.queryAll(ctx, peers, func(ctx context.Context, _ int, m Member) {
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

// maxUnaskedNamed is the maximum number of hosts that a warning names.
const maxUnaskedNamed = 4

// unaskedWarning returns a warning that names the hosts that could not be queried and may
// have issued other plans. It is empty if all hosts were queried.
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
		key:      key,
		base:     plan.Base{Revision: b.GetRevision(), Digest: b.GetDigest()},
		digest:   p.GetDigest(),
		operator: p.GetOperator(),
		at:       p.GetAt().AsTime(),
	}
}

// LookupPlans implements operatorv1.PeerServer.
func (s *Server) LookupPlans(_ context.Context, req *operatorv1.LookupPlansRequest) (*operatorv1.LookupPlansResponse, error) {
	out := &operatorv1.LookupPlansResponse{}
	for _, p := range s.history.plans(req.GetKey()) {
		out.Plans = append(out.Plans, &operatorv1.IssuedPlan{Base: versionMessage(p.base), Digest: p.digest, Operator: p.operator, At: timestamppb.New(p.at)})
	}
	return out, nil
}

// conflicting returns the pending plans of other operators that have the same base as p
// and a different result.
func conflicting(list []issuedPlan, p issuedPlan) []issuedPlan {
	return slices.DeleteFunc(slices.Clone(list), func(o issuedPlan) bool {
		return o.base != p.base || o.digest == p.digest || o.operator == p.operator || p.at.Sub(o.at) >= pendingPeriod
	})
}

// plannedBy returns the names of the operators who planned the version with the given
// digest; any of them may have published it. It is empty if no plan on the list has that
// digest.
func plannedBy(list []issuedPlan, digest uint64) string {
	var names []string
	known := false
	for _, p := range list {
		if p.digest != digest {
			continue
		}
		known = true
		if p.operator != "" && !slices.Contains(names, p.operator) {
			names = append(names, p.operator)
		}
	}
	if known && len(names) == 0 {
		return anonymous
	}
	return strings.Join(names, " or ")
}
