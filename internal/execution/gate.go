package execution

import (
	"context"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

type gateKey struct{}

// gate stands between a run and its sends.
type gate struct {
	space    *space
	sequence uint64
}

func withGate(ctx context.Context, g *gate) context.Context {
	return context.WithValue(ctx, gateKey{}, g)
}

// BeforeSend must be called immediately before each send of a request whose
// context an Executor handed to run. Where it returns an error nothing may be
// sent. Without a gate in ctx it returns nil.
func BeforeSend(ctx context.Context) *errkind.Error {
	g, _ := ctx.Value(gateKey{}).(*gate)
	if g == nil {
		return nil
	}
	return g.space.send(g.sequence)
}

// AfterNotRun must be called when a send certainly did not run, before another
// one is tried.
func AfterNotRun(ctx context.Context) {
	if g, _ := ctx.Value(gateKey{}).(*gate); g != nil {
		g.space.notRun(g.sequence)
	}
}
