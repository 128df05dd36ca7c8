package gateway

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Reload puts changed settings in force, or refuses them whole and says why in
// one event. A nil next with an error reports settings that could not be read.
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
	g.keysKnownWithin.Store(int64(next.MaxKeyStaleness))
	g.loop.Post(g.shareRetries)
	g.stopper.SetTimeouts(stopTimes(next))
	return nil
}

// fixedChange names the first setting that only a start can change.
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
