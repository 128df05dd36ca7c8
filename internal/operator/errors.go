package operator

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

// toStatus maps errors of package plan to gRPC status errors, with typed details for
// conflicts and field errors.
func toStatus(err error) error {
	var (
		conflict *plan.ConflictError
		missing  *plan.NotFoundError
		exists   *plan.ExistsError
		field    *config.FieldError
	)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return withDetail(codes.Aborted, err, conflictDetail(conflict))
	case errors.As(err, &missing):
		return status.Error(codes.NotFound, err.Error())
	case errors.As(err, &exists):
		return status.Error(codes.AlreadyExists, err.Error())
	case errors.As(err, &field):
		return withDetail(codes.InvalidArgument, err, &operatorv1.FieldProblem{Field: field.Field, Problem: field.Problem, Fix: field.Fix})
	default:
		return status.Error(codes.InvalidArgument, err.Error())
	}
}

func withDetail(code codes.Code, err error, detail protoadapt.MessageV1) error {
	st := status.New(code, err.Error())
	if detailed, detailErr := st.WithDetails(detail); detailErr == nil {
		st = detailed
	}
	return st.Err()
}

func conflictDetail(e *plan.ConflictError) *operatorv1.Conflict {
	return &operatorv1.Conflict{
		Key:       e.Key,
		Expected:  versionMessage(e.Expected),
		Actual:    versionMessage(e.Actual),
		Changes:   differenceMessages(e.Changes),
		PlannedBy: e.By,
	}
}
