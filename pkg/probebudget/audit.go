package probebudget

import "time"

// Violation is a broken invariant: a probe was about to be sent sooner after the
// last one than this host's share allows.
type Violation struct {
	// Upstream is the id of the upstream.
	Upstream string
	// Early is how much too soon the probe was.
	Early time.Duration
}

// Audit checks the sends themselves, apart from Budget: it shares no state
// with it, so that a fault there is seen here. It belongs to one goroutine.
type Audit struct {
	last map[string]time.Time
}

// NewAudit returns an audit without sends.
func NewAudit() *Audit { return &Audit{last: make(map[string]time.Time)} }

// Send must be called right before a probe is sent. A probe that it reports
// as a breach must not be sent.
func (a *Audit) Send(now time.Time, upstream string, p Plan) *Violation {
	last, sent := a.last[upstream]
	if sent && now.Sub(last) < p.Window() {
		return &Violation{Upstream: upstream, Early: p.Window() - now.Sub(last)}
	}
	a.last[upstream] = now
	return nil
}

// Forget drops an upstream that is no longer configured and has no probe
// outstanding.
func (a *Audit) Forget(upstream string) { delete(a.last, upstream) }
