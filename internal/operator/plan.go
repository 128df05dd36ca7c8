package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

// anonymous is used in messages for an operator without a name.
const anonymous = "an unnamed operator"

// PlanService implements operatorv1.OperatorServer.
func (s *Server) PlanService(ctx context.Context, req *operatorv1.PlanServiceRequest) (*operatorv1.Plan, error) {
	svc, err := config.Parse(req.GetDocument())
	if err != nil {
		return nil, toStatus(err)
	}
	return s.plan(ctx, svc.Name, plan.PutService{Service: svc, MustCreate: req.GetMustCreate()}, req.GetOptions())
}

// PlanDelete implements operatorv1.OperatorServer.
func (s *Server) PlanDelete(ctx context.Context, req *operatorv1.PlanDeleteRequest) (*operatorv1.Plan, error) {
	return s.plan(ctx, req.GetService(), plan.DeleteService{}, req.GetOptions())
}

// PlanGroup implements operatorv1.OperatorServer.
func (s *Server) PlanGroup(ctx context.Context, req *operatorv1.PlanGroupRequest) (*operatorv1.Plan, error) {
	var edit plan.PutGroup
	switch change := req.GetChange().(type) {
	case *operatorv1.PlanGroupRequest_Delete:
		return s.plan(ctx, req.GetService(), plan.DeleteGroup{Group: change.Delete}, req.GetOptions())
	case *operatorv1.PlanGroupRequest_Put:
		if err := decode("group", change.Put, &edit.Group); err != nil {
			return nil, toStatus(err)
		}
	default:
		return nil, toStatus(errNoChange)
	}
	return s.plan(ctx, req.GetService(), edit, req.GetOptions())
}

// PlanRule implements operatorv1.OperatorServer.
func (s *Server) PlanRule(ctx context.Context, req *operatorv1.PlanRuleRequest) (*operatorv1.Plan, error) {
	edit := plan.PutRule{Before: req.GetBefore()}
	switch change := req.GetChange().(type) {
	case *operatorv1.PlanRuleRequest_Delete:
		return s.plan(ctx, req.GetService(), plan.DeleteRule{Rule: change.Delete}, req.GetOptions())
	case *operatorv1.PlanRuleRequest_Put:
		if err := decode("rule", change.Put, &edit.Rule); err != nil {
			return nil, toStatus(err)
		}
	default:
		return nil, toStatus(errNoChange)
	}
	return s.plan(ctx, req.GetService(), edit, req.GetOptions())
}

// PlanUpstreams implements operatorv1.OperatorServer.
func (s *Server) PlanUpstreams(ctx context.Context, req *operatorv1.PlanUpstreamsRequest) (*operatorv1.Plan, error) {
	edit := plan.SetUpstreams{Group: req.GetGroup()}
	if err := decode("upstreams", req.GetUpstreams(), &edit.Upstreams); err != nil {
		return nil, toStatus(err)
	}
	return s.plan(ctx, req.GetService(), edit, req.GetOptions())
}

// PlanDrain implements operatorv1.OperatorServer.
func (s *Server) PlanDrain(ctx context.Context, req *operatorv1.PlanDrainRequest) (*operatorv1.Plan, error) {
	edit := plan.SetUpstreamState{Upstream: req.GetUpstream(), State: config.Draining}
	if req.GetUndrain() {
		edit.State = config.Active
	}
	return s.plan(ctx, req.GetService(), edit, req.GetOptions())
}

var errNoChange = errors.New("change: is empty; set put or delete")

// decode decodes a part of a document and rejects unknown fields.
func decode(field string, b []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return &config.FieldError{Field: field, Problem: "can't be read: " + err.Error(), Fix: "write it as in docs/CONFIGURATION.md"}
	}
	return nil
}

// plan computes a plan and, if it changes anything, records it with its operator.
func (s *Server) plan(ctx context.Context, service string, edit plan.Edit, opts *operatorv1.PlanOptions) (*operatorv1.Plan, error) {
	state, err := s.state()
	if err != nil {
		return nil, err
	}
	req := plan.Request{Service: service, Edit: edit}
	if v := opts.GetExpected(); v != nil {
		req.Expected = &plan.Base{Revision: v.GetRevision(), Digest: v.GetDigest()}
	}
	p, err := plan.Compute(state, req)
	if err != nil {
		return nil, toStatus(s.describeConflict(ctx, state, err))
	}
	if !p.Unchanged() {
		s.warnPending(ctx, p, operatorName(ctx, opts))
	}
	return planMessage(p), nil
}

// describeConflict adds to a conflict error what changed and who planned the change. It
// returns other errors unchanged.
func (s *Server) describeConflict(ctx context.Context, state *plan.State, err error) error {
	var conflict *plan.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	conflict.By = plannedBy(s.issuedPlans(ctx, conflict.Key).plans, conflict.Actual.Digest)
	old := s.history.find(conflict.Key, conflict.Expected)
	if old == nil && conflict.Expected != (plan.Base{}) {
		return conflict
	}
	var current *config.Service
	if doc := state.Find(conflict.Key[len(plan.KeyPrefix):]); doc != nil {
		current = doc.Service
	}
	conflict.Changes = plan.Diff(old, current)
	return conflict
}

// warnPending records a plan and adds warnings about other operators' pending plans with
// the same base. It records the plan first: if two operators plan concurrently on two
// hosts, at least one of them then sees the other's plan.
func (s *Server) warnPending(ctx context.Context, p *plan.Plan, operator string) {
	own := issuedPlan{key: p.Key, base: p.Base, digest: p.Digest, operator: operator, at: time.Now()}
	s.history.record(own)
	issued := s.issuedPlans(ctx, p.Key)
	for _, o := range conflicting(issued.plans, own) {
		p.Warnings = append(p.Warnings, fmt.Sprintf(
			"%s planned another change of %s from the same revision %d at %s; whichever is published last replaces the other",
			cmp.Or(o.operator, anonymous), p.Key, p.Base.Revision, o.at.UTC().Format(time.TimeOnly)))
	}
	if warning := issued.unaskedWarning(); warning != "" {
		p.Warnings = append(p.Warnings, warning)
	}
}

// operatorName returns the common name in the client's certificate, or else the name in
// the options, which may be empty.
func operatorName(ctx context.Context, opts *operatorv1.PlanOptions) string {
	if p, ok := peer.FromContext(ctx); ok {
		if info, ok := p.AuthInfo.(credentials.TLSInfo); ok && len(info.State.PeerCertificates) > 0 {
			return info.State.PeerCertificates[0].Subject.CommonName
		}
	}
	return opts.GetOperator()
}
