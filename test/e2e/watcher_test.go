package e2e

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

const (
	watchEvery = 30 * time.Millisecond
	rpcTimeout = time.Second
	// knownBy is how many entry hosts must have had a revision in force for a
	// host that starts afterwards to be held to it.
	knownBy = 3
)

// watched is what the watcher saw of one entry host.
type watched struct {
	entry       *entryHost
	client      operatorv1.OperatorClient
	incarnation int    // processes started so far
	revision    uint64 // the newest in force in this incarnation
	floor       uint64 // what this incarnation must not be below once it serves
	serves      bool
}

// watcher asks each entry host, over the operators' interface, which revision
// of the ledger's document is in force, and holds that it never falls back.
type watcher struct {
	fleet *fleet
	mu    sync.Mutex
	hosts []*watched
	seen  int
	fell  []string
}

func newWatcher(f *fleet) *watcher {
	w := &watcher{fleet: f}
	for _, e := range f.entries {
		conn, err := grpc.NewClient("passthrough:///"+e.operator,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: rpcTimeout}))
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = conn.Close() })
		w.hosts = append(w.hosts, &watched{entry: e, client: operatorv1.NewOperatorClient(conn)})
	}
	return w
}

// run watches until done.
func (w *watcher) run(done <-chan struct{}) {
	var wg sync.WaitGroup
	for _, h := range w.hosts {
		wg.Go(func() { every(done, watchEvery, func(int) { w.look(h) }) })
	}
	wg.Wait()
}

// look takes one reading, unless the process was replaced meanwhile.
func (w *watcher) look(h *watched) {
	w.mu.Lock()
	incarnation := h.incarnation
	w.mu.Unlock()
	if w.fleet.get("http://"+h.entry.admin+"/readyz") != nil {
		return
	}
	revision, err := w.inForce(h)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.incarnation != incarnation {
		return
	}
	w.seen++
	if least := max(h.floor, h.revision); revision < least {
		w.fell = append(w.fell, fmt.Sprintf("%s, process %d: serves by revision %d after %d", h.entry.caller, incarnation, revision, least))
	}
	h.revision = max(h.revision, revision)
	h.serves = true
}

func (w *watcher) inForce(h *watched) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	resp, err := h.client.DescribeService(ctx, &operatorv1.DescribeServiceRequest{Name: "ledger"})
	return resp.GetVersion().GetRevision(), err
}

// replace kills the process of entry host i and starts another, which is held
// to what several of the others have in force by now.
func (w *watcher) replace(i int) {
	h := w.hosts[i]
	w.mu.Lock()
	h.incarnation++
	h.serves = false
	h.revision = 0
	w.mu.Unlock()
	h.entry.kill()
	w.mu.Lock()
	h.incarnation++
	h.floor = w.known()
	w.mu.Unlock()
	w.fleet.restart(h.entry)
}

// known is the newest revision that knownBy hosts have in force.
func (w *watcher) known() uint64 {
	var all []uint64
	for _, h := range w.hosts {
		if h.serves {
			all = append(all, h.revision)
		}
	}
	if len(all) < knownBy {
		return 0
	}
	slices.Sort(all)
	return all[len(all)-knownBy]
}

// serving returns the places of the hosts that serve.
func (w *watcher) serving() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []int
	for i, h := range w.hosts {
		if h.serves {
			out = append(out, i)
		}
	}
	return out
}

// has reports whether the given hosts all serve by at least a revision.
func (w *watcher) has(hosts []int, revision uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !slices.ContainsFunc(hosts, func(i int) bool { return !w.hosts[i].serves || w.hosts[i].revision < revision })
}

// anyHas reports whether some host serves by at least a revision.
func (w *watcher) anyHas(revision uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.hosts, func(h *watched) bool { return h.serves && h.revision >= revision })
}

func (w *watcher) all() []int {
	out := make([]int, len(w.hosts))
	for i := range out {
		out[i] = i
	}
	return out
}

func (w *watcher) check(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Logf("%d readings of entry hosts that serve, %d fell back", w.seen, len(w.fell))
	for _, f := range w.fell {
		t.Error(f)
	}
}
