package proxy

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/limit"
)

// answer passes an upstream's answer on. Where the upstream is itself an entry
// host, its own word on the outcome stands.
func (x *exchange) answer(r result) *httpwire.Response {
	if x.proxy.dialect.SendsOwnHeaders {
		x.annotate(r)
	}
	x.emit(event.Event{Code: event.RequestAnswered, Upstream: r.binding.upstream.ID, Attempt: r.binding.number, Value: int64(r.resp.Status)})
	return r.resp
}

// annotate tells the caller what is known of the outcome.
func (x *exchange) annotate(r result) {
	h := r.resp.Header
	if !declaresOutcome(h) {
		h[HeaderOutcome] = ranValues
	}
	delete(h, HeaderNotRun)
	delete(h, HeaderLoad)
	// Not the exchange's values: a kept answer must not keep the request.
	values := &[2]string{r.binding.upstream.ID, x.id}
	h[HeaderUpstream] = values[0:1:1]
	h[HeaderRequestID] = values[1:2:2]
}

// ranValues is the outcome of an answer that an upstream gave.
var ranValues = []string{errkind.Ran.String()}

// declaresOutcome reports whether the answer comes from an entry host below
// that could not give its upstream's answer.
func declaresOutcome(h http.Header) bool {
	if h.Get(HeaderError) == "" {
		return false
	}
	outcome := h.Get(HeaderOutcome)
	return outcome == errkind.NotRun.String() || outcome == errkind.Unknown.String()
}

// refuse answers with the kind's entry in the error table.
func (x *exchange) refuse(err *errkind.Error) *httpwire.Response {
	err = x.certain(err)
	answer := err.Kind.Answer()
	x.returnRoom(answer)
	code := event.RequestRefused
	if answer.Outcome == errkind.Unknown {
		code = event.RequestUnknown
	}
	x.emit(event.Event{Code: code, Reason: answer.Name, Detail: err.Error(), Value: int64(answer.Status)})
	h := http.Header{
		"Content-Type":            {"text/plain; charset=utf-8"},
		x.proxy.dialect.RequestID: {x.id},
	}
	if x.proxy.dialect.SendsOwnHeaders {
		x.annotateRefusal(h, answer)
	}
	if answer.RetryAfter {
		x.proxy.dialect.retryAfter(h, x.comeBack(err.Kind))
	}
	return &httpwire.Response{Status: answer.Status, Header: h, Body: []byte(err.Error() + "\n")}
}

// annotateRefusal tells the caller what is known of a request that failed.
func (x *exchange) annotateRefusal(h http.Header, answer errkind.Answer) {
	h[HeaderOutcome] = []string{answer.Outcome.String()}
	h[HeaderError] = []string{answer.Name}
	if answer.Status == http.StatusServiceUnavailable && answer.Outcome == errkind.NotRun {
		h[HeaderNotRun] = []string{flagSet}
	}
	if x.sent > 0 {
		h[HeaderNoRetry] = []string{flagSet}
	}
}

// certain names the failure for what the caller must know: a non-repeatable
// request that may have run has an unknown outcome, whatever broke.
func (x *exchange) certain(err *errkind.Error) *errkind.Error {
	if x.rule == nil || x.repeatable() || err.Kind != errkind.UpstreamBroken {
		return err
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "sent once")
}

// comeBackDivisor divides the target latency: before that part of it has passed,
// the queue that refused a request holds much the same requests.
const comeBackDivisor = 2

// comeBack is when a caller that was refused for the given reason should come
// back, spread by the excess.
func (x *exchange) comeBack(kind errkind.Kind) time.Duration {
	switch kind {
	case errkind.Quarantined:
		return x.quarantineLeft()
	case errkind.QuotaExceeded:
		return x.caller.wait
	}
	if x.state == nil {
		if kind == errkind.NotReady && x.proxy.starting.recent(clock.Now()) {
			return limit.RetryAfterStart(x.proxy.random())
		}
		return limit.RetryAfter(0, x.proxy.random())
	}
	g := x.state.group
	target := x.rule.Config.TargetLatency.Std()
	left := x.allShut()
	if perSecond := x.turns(); !math.IsInf(perSecond, 1) {
		// Those that wait here, as long as the target at the most, come first.
		return g.turns.Next(clock.Now(), max(left, seconds(1/perSecond), target), perSecond)
	}
	if left > 0 {
		return limit.RetryAfterRest(left, x.proxy.random())
	}
	if kind == errkind.UpstreamRefused && target > 0 && g.waiting.Load() == 0 {
		return limit.RetryAfterShed(target, x.proxy.random())
	}
	return max(limit.RetryAfter(g.excess.Ratio(), x.proxy.random()), target/comeBackDivisor)
}

// setOwnRetryAfter writes both of the product's headers.
func setOwnRetryAfter(h http.Header, d time.Duration) {
	h[HeaderRetryAfter] = []string{strconv.FormatInt(limit.RetryAfterSeconds(d), 10)}
	h[HeaderRetryAfterMs] = []string{strconv.FormatInt(int64(d/time.Millisecond), 10)}
}
