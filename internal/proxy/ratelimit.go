package proxy

import (
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

// HearLimit takes in what an answer says of its upstream's limit. It returns an event if
// that is news, or can't be read.
func (d *Dialect) HearLimit(u *balancer.Upstream, resp *httpwire.Response) (event.Event, bool) {
	if d.Limit == nil {
		return event.Event{}, false
	}
	word, err := d.Limit(resp.Status, resp.Header)
	if err != nil {
		return event.Event{Code: event.LimitUnreadable, Upstream: u.ID, Detail: err.Error()}, true
	}
	news := u.Limit.Hear(word)
	return limitEvent(u, word), news
}

func limitEvent(u *balancer.Upstream, w ratelimit.Word) event.Event {
	if w.Kind != ratelimit.Limited {
		return event.Event{Code: event.LimitEnded, Upstream: u.ID}
	}
	return event.Event{Code: event.LimitNamed, Upstream: u.ID, Value: int64(w.PerSecond * 1000)}
}

// limited takes in what an answer says of the upstream's limit.
func (x *exchange) limited(b binding, resp *httpwire.Response) {
	if resp == nil {
		return
	}
	if e, news := x.proxy.dialect.HearLimit(b.upstream, resp); news {
		e.Attempt, e.Reason = b.number, "answer"
		x.emit(e)
	}
}
