package proxy

import (
	"sync"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// guard enforces the invariant that a non-repeatable request is never sent again after an
// attempt that may have reached an upstream. It counts independently of the decisions
// that should already ensure this.
type guard struct {
	mu sync.Mutex
	// open counts the started attempts that are not known not to have run.
	open int
}

// begin records an attempt. It returns false if the request is non-repeatable and has an
// attempt that may have run; nothing must be sent then.
func (g *guard) begin(repeatable bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !repeatable && g.open > 0 {
		return false
	}
	g.open++
	return true
}

// end records the result of an attempt. Only a definite "not run" takes it off the count.
func (g *guard) end(err *errkind.Error) {
	if err == nil || err.Kind.Answer().Outcome != errkind.NotRun {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
}
