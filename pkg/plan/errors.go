package plan

import (
	"strconv"
)

// NotFoundError reports that an edit refers to an object that does not exist.
type NotFoundError struct {
	// Kind is "service", "group", "rule" or "upstream".
	Kind string
	// Name is the requested name.
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return e.Kind + " " + strconv.Quote(e.Name) + " is not in force"
}

// ExistsError reports that an edit would create an object that already exists.
type ExistsError struct {
	// Kind is "service".
	Kind string
	// Name is the requested name.
	Name string
}

// Error implements error.
func (e *ExistsError) Error() string {
	return e.Kind + " " + strconv.Quote(e.Name) + " already exists; describe it and change it from its revision"
}

// ConflictError reports that the document has changed since the version that the
// operator expects.
type ConflictError struct {
	// Key is the platform key of the document.
	Key string
	// Expected is the version that the operator expects, Actual the current one.
	Expected, Actual Base
	// Changes lists the differences between the two, if the old version is known.
	Changes []Difference
	// By names who planned the current version, if this host knows.
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
