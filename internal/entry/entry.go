// Package entry assembles the daemon of an entry host: the listener for
// callers, the connections to upstreams, and the control goroutine that turns
// published documents into the routing table.
package entry

import (
	"context"
	"io"
	"net/netip"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/internal/logging"
	"github.com/dapplespindle/dapplespindle/internal/platform"
	"github.com/dapplespindle/dapplespindle/internal/proxy"
	"github.com/dapplespindle/dapplespindle/internal/settings"
	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// Entry is one entry host.
type Entry struct {
	conf    settings.Entry
	host    string
	events  event.Sink
	proxy   *proxy.Proxy
	server  *httpwire.Server
	client  *upstream.Client
	control *control
	admin   *admin
}

const idlePerUpstream = 64

// New assembles an entry host from checked settings. Logs go to w.
func New(conf settings.Entry, w io.Writer) (*Entry, error) {
	level, err := zerolog.ParseLevel(conf.LogLevel)
	if err != nil {
		return nil, err
	}
	addr, err := netip.ParseAddrPort(conf.Listen)
	if err != nil {
		return nil, err
	}
	e := &Entry{conf: conf, host: addr.String(), events: logging.New(w, level)}
	logging.CaptureLibrary(e.events)
	e.client = upstream.New(upstream.Config{
		DialTimeout:      conf.Limits.DialTimeout,
		IdlePerUpstream:  idlePerUpstream,
		MaxResponseBytes: conf.Limits.MaxBodyBytes,
	})
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 36)
	e.proxy = proxy.New(e.host, incarnation, e.client, e.events)
	e.server = httpwire.NewServer(httpwire.ServerConfig{
		Address:      conf.Listen,
		MaxBodyBytes: conf.Limits.MaxBodyBytes,
		IdleTimeout:  conf.Limits.IdleTimeout,
		Handler:      e.proxy,
	})
	e.control = newControl(e.host, platform.NewClient(conf.Platform), conf.WatchWait, e.proxy, e.events)
	e.admin = newAdmin(conf.AdminListen, e.proxy)
	return e, nil
}

// Run serves until ctx ends, then finishes the requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.client.Start(); err != nil {
		return err
	}
	defer e.client.Stop()
	if err := e.admin.start(); err != nil {
		return err
	}
	defer e.admin.stop()
	if err := e.server.Start(); err != nil {
		return err
	}
	defer e.server.Stop()
	e.emit(event.Event{Code: event.ProcessStarted})
	e.control.run(ctx)
	e.emit(event.Event{Code: event.ProcessStopping, Value: e.server.InFlight()})
	e.admin.setStopping()
	left := e.finish()
	e.emit(event.Event{Code: event.ProcessStopped, Value: left})
	return nil
}

const finishPoll = 10 * time.Millisecond

// finish waits for the requests in flight and returns how many were cut off.
func (e *Entry) finish() int64 {
	deadline := time.Now().Add(e.conf.Stop.Timeout)
	for e.server.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(finishPoll)
	}
	return e.server.InFlight()
}

func (e *Entry) emit(ev event.Event) {
	ev.At = time.Now()
	ev.EntryHost = e.host
	e.events.Emit(ev)
}
