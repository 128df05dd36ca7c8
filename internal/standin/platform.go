// Package standin implements minimal substitutes for the external systems: the
// platform's configuration service and host list, and upstreams. They are meant
// for demos and tests only.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/platform"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

const (
	maxWatchWait = 60 * time.Second
	// lagPollInterval is how often a pending watch checks for changes that become
	// visible while Faults.Lag is set. Nothing else wakes it for them.
	lagPollInterval = 10 * time.Millisecond
)

// Platform is an in-memory configuration service and host list with fault
// injection. Operators and tests publish documents with PUT and DELETE below
// /v1/config/; entry hosts only read.
type Platform struct {
	store  configStore
	faults faultState
	reads  atomic.Int64
}

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	p := new(Platform)
	p.store.changed = make(chan struct{})
	return p
}

// Handler returns the HTTP handler.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", p.countReads(p.watch))
	mux.HandleFunc("GET /v1/hosts", p.countReads(p.getHosts))
	mux.HandleFunc("PUT /v1/config/{key...}", p.put)
	mux.HandleFunc("DELETE /v1/config/{key...}", p.delete)
	mux.HandleFunc("PUT /v1/hosts", p.putHosts)
	mux.HandleFunc("GET /v1/reads", p.getReads)
	mux.HandleFunc("PUT /v1/faults", p.putFaults)
	return mux
}

// Reads returns the number of reads and watches, including rejected ones.
func (p *Platform) Reads() int64 { return p.reads.Load() }

// Publish stores value under key and returns the new revision. A nil value
// deletes the key.
func (p *Platform) Publish(key string, value []byte) uint64 {
	return p.store.publish(key, value, time.Now())
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []platform.Host) { p.store.setHosts(hosts) }

// SetFaults replaces the faults. They apply to pending watches immediately.
func (p *Platform) SetFaults(f Faults) {
	p.faults.set(f)
	p.store.wakeWatches()
}

// countReads wraps a read handler. It counts each read and rejects it while the
// platform is down or over its rate limit.
func (p *Platform) countReads(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.reads.Add(1)
		if code := p.faults.rejectStatus(time.Now()); code != 0 {
			http.Error(w, "refused", code)
			return
		}
		next(w, r)
	}
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: not a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait < 0 || wait > maxWatchWait {
		http.Error(w, "wait: not a duration up to 60s", http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(wait)
	for {
		f := p.faults.get()
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		changes, changed := p.store.changesSince(after, f, time.Now())
		left := time.Until(deadline)
		if len(changes.Changes) > 0 || left <= 0 {
			writeJSON(w, changes)
			return
		}
		if f.Lag > 0 {
			left = min(left, lagPollInterval)
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxDocumentBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(body) {
		http.Error(w, "not JSON", http.StatusBadRequest)
		return
	}
	writeRevision(w, p.Publish(r.PathValue("key"), body))
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	writeRevision(w, p.Publish(r.PathValue("key"), nil))
}

func writeRevision(w http.ResponseWriter, revision uint64) {
	writeJSON(w, platform.Changes{Revision: revision})
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.store.hostList())
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []platform.Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(hosts)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getReads(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, strconv.FormatInt(p.reads.Load(), 10)+"\n")
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	var b strings.Builder
	if err := json.NewEncoder(&b).Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, b.String())
}
