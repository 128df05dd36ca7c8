package plan

import (
	"strconv"
)

// NotFoundError names what an edit refers to and the state lacks.
type NotFoundError struct {
	// Kind is "service", "group", "rule" or "upstream".
	Kind string
	// Name is the name asked for.
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return e.Kind + " " + strconv.Quote(e.Name) + " is not in force"
}

// ExistsError names what an edit would create and the state already has.
type ExistsError struct {
	// Kind is "service".
	Kind string
	// Name is the name asked for.
	Name string
}

// Error implements error.
func (e *ExistsError) Error() string {
	return e.Kind + " " + strconv.Quote(e.Name) + " already exists; describe it and change it from its revision"
}

// ConflictError means the document changed after the operator looked at it.
type ConflictError struct {
	// Key is the document.
	Key string
	// Expected is the base that the operator named, Actual the version in force.
	Expected, Actual Base
	// Changes lists what changed between the two, if the old version is known.
	Changes []Difference
	// By names who computed the version in force, if this host knows.
	By string
}

// Error implements error.
func (e *ConflictError) Error() string {
	s := e.Key + ": computed from revision " + strconv.FormatUint(e.Expected.Revision, 10) +
		", but revision " + strconv.FormatUint(e.Actual.Revision, 10) + " is in force"
	if e.By != "" {
		s += ", planned by " + e.By
	}
	for _, c := range e.Changes {
		s += "; " + c.String()
	}
	return s
}
