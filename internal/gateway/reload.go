package gateway

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Reload applies changed settings, or rejects all of them and emits one event with the
// reason. A nil next with an error reports settings that could not be read.
func (g *Gateway) Reload(next *Settings, err error) {
	if err == nil {
		err = g.reload(*next)
	}
	if err != nil {
		g.emit(event.Event{Code: event.SettingsRejected, Detail: err.Error()})
		return
	}
	g.emit(event.Event{Code: event.SettingsReloaded})
}

func (g *Gateway) reload(next Settings) error {
	if err := next.Validate(); err != nil {
		return err
	}
	g.confMu.Lock()
	defer g.confMu.Unlock()
	if name := g.conf.fixedChange(next); name != "" {
		return errors.Newf("%s: can't change while the process runs", name)
	}
	g.conf = next
	g.maxKeyStaleness.Store(int64(next.MaxKeyStaleness))
	g.loop.Post(g.shareRetries)
	g.stopper.SetTimeouts(shutdownTimeouts(next))
	return nil
}

// fixedChange returns the name of the first changed setting that requires a restart, or
// an empty string.
func (s *Settings) fixedChange(next Settings) string {
	for _, f := range []struct{ name, old, new string }{
		{"host", s.Host, next.Host},
		{"failure-domain", s.FailureDomain, next.FailureDomain},
		{"listen", s.Listen, next.Listen},
		{"ready-listen", s.ReadyListen, next.ReadyListen},
		{"ready-path", s.ReadyPath, next.ReadyPath},
		{"metrics-listen", s.MetricsListen, next.MetricsListen},
		{"peer-listen", s.PeerListen, next.PeerListen},
		{"memory-bytes", strconv.FormatInt(s.MemoryBytes, 10), strconv.FormatInt(next.MemoryBytes, 10)},
		{"news-port", strconv.Itoa(int(s.PeerTransportPort)), strconv.Itoa(int(next.PeerTransportPort))},
		{"log-level", s.LogLevel, next.LogLevel},
		{"change-within", s.MaxChangeDelay.String(), next.MaxChangeDelay.String()},
		{"leave-within", s.MaxLeaveDelay.String(), next.MaxLeaveDelay.String()},
	} {
		if f.old != f.new {
			return f.name
		}
	}
	return ""
}
