package ctl

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// Code is an exit code of spindlectl. docs/SPINDLECTL.md documents them.
type Code int

// The exit codes.
const (
	// OK means that the command succeeded.
	OK Code = iota
	// Failure is any failure without a code of its own.
	Failure
	// Usage is an invalid command line or environment variable.
	Usage
	// InvalidDocument is an invalid document, group, rule or field.
	InvalidDocument
	// Conflict means that a different version than the expected one is in force.
	Conflict
	// NotInForce means that the document was not in force on every entry host within the time
	// to wait.
	NotInForce
	// Unreachable means that the entry host did not respond, has no configuration yet or
	// refused the client's certificate.
	Unreachable
	// NotFound means that the named object does not exist.
	NotFound
	// AlreadyExists means that the service to create exists already.
	AlreadyExists
)

// codeMeanings describes the exit codes, for --help and docs/SPINDLECTL.md.
var codeMeanings = []string{
	OK:              "done",
	Failure:         "failed for another reason",
	Usage:           "wrong command line or environment variable",
	InvalidDocument: "the document or a field is invalid; the message names it and the fix",
	Conflict:        "another version is in force than the one expected, or it won over the one followed",
	NotInForce:      "not in force on every entry host within the time to wait",
	Unreachable:     "the entry host gave no answer, has no configuration yet, or refused the certificate",
	NotFound:        "the service, group, rule, upstream or request is not known",
	AlreadyExists:   "the service to create is already in force",
}

// exitError is an error with an exit code.
type exitError struct {
	code  Code
	cause error
}

// Error implements error.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

func withCode(code Code, err error) error { return &exitError{code, err} }

// codeOf returns the exit code for an error.
func codeOf(err error) Code {
	var (
		own   *exitError
		field *config.FieldError
	)
	switch {
	case err == nil:
		return OK
	case errors.As(err, &own):
		return own.code
	case errors.As(err, &field):
		return InvalidDocument
	}
	switch status.Code(err) {
	case codes.InvalidArgument:
		return InvalidDocument
	case codes.Aborted:
		return Conflict
	case codes.Unavailable, codes.DeadlineExceeded, codes.Unauthenticated, codes.PermissionDenied:
		return Unreachable
	case codes.NotFound:
		return NotFound
	case codes.AlreadyExists:
		return AlreadyExists
	default:
		return Failure
	}
}

// message returns the text of an error to show to the user, without a gRPC prefix.
func message(err error) string {
	if st, ok := status.FromError(err); ok && st.Code() != codes.Unknown {
		return st.Message()
	}
	return err.Error()
}
