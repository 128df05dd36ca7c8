package probebudget

import "time"

// Violation is a violated invariant: a probe was about to be sent sooner after the last
// one than this host's share allows.
type Violation struct {
	// Upstream is the ID of the upstream.
	Upstream string
	// Early is the time by which the probe was too early.
	Early time.Duration
}

// Audit checks the probes independently of Budget: it shares no state with it, so that
// it detects faults there. It must be used by one goroutine at a time.
type Audit struct {
	last map[string]time.Time
}

// NewAudit returns an Audit without recorded probes.
func NewAudit() *Audit { return &Audit{last: make(map[string]time.Time)} }

// Send must be called right before a probe is sent. If it returns a violation, the probe
// must not be sent.
func (a *Audit) Send(now time.Time, upstream string, p Plan) *Violation {
	last, sent := a.last[upstream]
	if sent && now.Sub(last) < p.Window() {
		return &Violation{Upstream: upstream, Early: p.Window() - now.Sub(last)}
	}
	a.last[upstream] = now
	return nil
}

// Forget removes an upstream that is no longer configured and has no outstanding
// probe.
func (a *Audit) Forget(upstream string) { delete(a.last, upstream) }
