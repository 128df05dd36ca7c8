package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/proxy"
	"github.com/dapplespindle/dapplespindle/internal/storewatch"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/discovery"
)

// unusedStore is never called by the benchmark, except for its revision.
type unusedStore struct{ storewatch.Store }

func (unusedStore) Revision(context.Context) (uint64, error) { return 0, nil }

// BenchmarkApply applies a batch of upstream changes: new entries for six upstreams of one
// service, out of n upstreams in three services.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{600, 6003, 15_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			g, err := New(Settings{
				Host: "127.0.0.1", FailureDomain: "here", LogLevel: "error",
				Listen: "127.0.0.1:1", ReadyListen: "127.0.0.1:2",
				StopTimeout: 3 * time.Second, MaxChangeDelay: 2 * time.Second, MaxLeaveDelay: 2 * time.Second,
			}, unusedStore{}, proxy.DefaultDialect(), io.Discard)
			if err != nil {
				b.Fatal(err)
			}
			state := &storewatch.State{Revision: 1, Configuration: &config.Configuration{Version: 1}}
			for i := range 3 {
				name := fmt.Sprintf("s-%d", i)
				s := &config.Service{
					Name: name, Match: config.Match{PathPrefix: "/" + name + "/"},
					Groups: []config.Group{{Name: "main", Registered: name, HealthPath: "/health", MaxConnections: 3600}},
					Rules:  []config.Rule{{Name: "all", Group: "main", Repeat: config.Repeatable}},
				}
				s.SetDefaults()
				state.Configuration.Services = append(state.Configuration.Services, s)
			}
			for i := range n {
				state.Upstreams = append(state.Upstreams, discovery.Upstream{
					ID: fmt.Sprintf("i-%06x", i), Service: fmt.Sprintf("s-%d", i%3), Slots: 3, Revision: 1,
					Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), FailureDomain: fmt.Sprintf("d-%d", i%6),
				})
			}
			g.control.applyState(state)
			revision := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				changes := new(storewatch.Changes)
				for j := range 6 {
					revision++
					u := state.Upstreams[(int(revision)*18+j*3)%n]
					u.Revision, u.ColdFor = revision, time.Duration(revision)
					changes.Events = append(changes.Events, storewatch.Event{Upstream: &u, Revision: revision})
				}
				changes.Revision = revision
				g.control.applyChanges(changes)
			}
		})
	}
}
