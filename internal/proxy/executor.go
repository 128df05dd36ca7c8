package proxy

import (
	"context"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// Executor decides whether a non-repeatable request may run on this host now. Run
// sends the request and returns the response. Execute calls it at most once, on the
// calling goroutine, and returns its response or generates one.
type Executor interface {
	Execute(ctx context.Context, req *httpwire.Request, rule *routing.Rule, run func(ctx context.Context) *httpwire.Response) *httpwire.Response
}

// directExecutor is the Executor without tickets or keys. It runs every request.
type directExecutor struct{}

// Execute implements Executor.
func (directExecutor) Execute(ctx context.Context, _ *httpwire.Request, _ *routing.Rule, run func(context.Context) *httpwire.Response) *httpwire.Response {
	return run(ctx)
}
