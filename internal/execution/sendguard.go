package execution

import (
	"context"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

type sendGuardKey struct{}

// sendGuard connects the execution of a request with the ledger that permits each
// send.
type sendGuard struct {
	ledger   *ticketLedger
	sequence uint64
}

func withSendGuard(ctx context.Context, g *sendGuard) context.Context {
	return context.WithValue(ctx, sendGuardKey{}, g)
}

// BeforeSend must be called immediately before each send of a request, with the
// context that Service.Execute passed to run or Config.Local. If it returns an
// error, nothing may be sent. It returns nil for any other context.
func BeforeSend(ctx context.Context) *errkind.Error {
	g, _ := ctx.Value(sendGuardKey{}).(*sendGuard)
	if g == nil {
		return nil
	}
	return g.ledger.send(g.sequence)
}

// AfterNotRun must be called after a send that certainly did not run the request,
// before another send is tried.
func AfterNotRun(ctx context.Context) {
	if g, _ := ctx.Value(sendGuardKey{}).(*sendGuard); g != nil {
		g.ledger.notRun(g.sequence)
	}
}
