package proxy

import (
	"context"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// Executor decides whether a non-repeatable request may run here and now. Run
// sends the request and returns the answer; Execute calls it at most once, on
// the calling goroutine, and returns its answer or one of its own.
type Executor interface {
	Execute(ctx context.Context, req *httpwire.Request, rule *routing.Rule, run func(ctx context.Context) *httpwire.Response) *httpwire.Response
}

// sendOnce is the Executor without tickets or keys: it runs what arrives.
type directExecutor struct{}

// Execute implements Executor.
func (directExecutor) Execute(ctx context.Context, _ *httpwire.Request, _ *routing.Rule, run func(context.Context) *httpwire.Response) *httpwire.Response {
	return run(ctx)
}
