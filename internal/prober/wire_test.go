package prober

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/upstream"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/probebudget"
)

// TestProbeOverTheWire sends one probe through the real client.
func TestProbeOverTheWire(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderLoad, "3")
		_, _ = w.Write([]byte(r.Method + r.URL.Path))
	}))
	defer server.Close()
	client := upstream.New(upstream.Config{DialTimeout: time.Second, IdlePerUpstream: 1, MaxResponseBytes: 1 << 16})
	is.NoErr(client.Start())
	defer client.Stop()
	reports := make(chan Report, 100)
	p := New(Config{
		Sender: client, Events: event.Discard{}, Path: "/load", Timeout: time.Second,
		Report: func(r Report) { reports <- r },
	})
	quick := probebudget.Plan{MaxHosts: 1, Slots: 3, SlotTimePercent: 50, Cost: time.Millisecond}
	address := strings.TrimPrefix(server.URL, "http://")
	p.SetTargets([]Target{{Upstream: "a", Address: address, Via: address, Plan: quick}})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go p.Run(ctx)
	select {
	case r := <-reports:
		is.Equal(r.Active, 3)
	case <-ctx.Done():
		t.Fatal("no report")
	}
}
