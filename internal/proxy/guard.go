package proxy

import (
	"sync"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// guard is the invariant that a non-repeatable request is never sent again
// after a send that may have reached an upstream. It counts on its own, apart
// from the decisions that should already hold to it.
type guard struct {
	mu sync.Mutex
	// open counts the sends that were begun and not proven not to have run.
	open int
}

// begin records a send. It reports false when a non-repeatable request has a
// send that may have run; nothing must be sent then.
func (g *guard) begin(repeatable bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !repeatable && g.open > 0 {
		return false
	}
	g.open++
	return true
}

// end records how a send ended. Only a certain "not run" closes it.
func (g *guard) end(err *errkind.Error) {
	if err == nil || err.Kind.Answer().Outcome != errkind.NotRun {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
}
