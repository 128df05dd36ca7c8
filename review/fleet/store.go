package main

import (
	"encoding/base64"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// historyTime is the terms' history-s.
const historyTime = 20 * time.Second

// Bounds of one page of a range read.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

type storeItem struct {
	Key      string `cbor:"k"`
	Value    string `cbor:"v,omitempty"`
	Revision uint64 `cbor:"r"`
	Created  uint64 `cbor:"c,omitempty"`
	Removed  bool   `cbor:"removed,omitempty"`
	at       time.Time
}

// store is a stand-in of the platform's metadata store in the form that deploy/wire.toml asks for.
type store struct {
	address string

	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	oldest   uint64 // the history holds the changes after this revision
	revision uint64
	changed  chan struct{}
	answers  map[int]int // by status
}

func newStore() *store {
	s := &store{items: make(map[string]storeItem), changed: make(chan struct{}), answers: make(map[int]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dapplespindle/kv-range", s.list)
	mux.HandleFunc("GET /dapplespindle/kv-watch", s.watch)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, mux) }()
	return s
}

// put writes a key. Its return is the store's acknowledgement.
func (s *store) put(key string, value any) uint64 {
	data, err := cbor.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.revision, Created: s.revision, at: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return s.revision
}

func (s *store) record(it storeItem) {
	s.history = append(s.history, it)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.oldest = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var found []storeItem
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	page, size := []storeItem{}, 0
	for _, it := range found {
		if len(page) == pageItems || size > pageBytes {
			break
		}
		page = append(page, it)
		size += len(it.Value)
	}
	s.respond(w, map[string]any{"items": page, "has-more": len(page) < len(found), "as-of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, lost := s.changed, after < s.oldest
		var events []storeItem
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("path-prefix")) {
				events = append(events, it)
			}
		}
		asOf := s.revision
		s.mu.Unlock()
		switch {
		case lost:
			s.count(http.StatusGone)
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			s.respond(w, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			s.respond(w, map[string]any{"events": []storeItem{}, "as-of": asOf})
			return
		case <-changed:
		}
	}
}

func (s *store) respond(w http.ResponseWriter, v any) {
	s.count(http.StatusOK)
	w.Header().Set("Content-Type", "application/cbor")
	_ = cbor.NewEncoder(w).Encode(v)
}

func (s *store) count(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[status]++
}

// route is one route of a configuration. Services maps services to weights.
type route struct {
	name, host, prefix, kind string
	timeoutMs, targetMs      int
	attempts                 int
	services                 map[string]int
}

// configuration returns the value of op/config.
func configuration(version uint64, routes ...route) map[string]any {
	var rows, services []any
	known := make(map[string]bool)
	for _, r := range routes {
		var split []any
		var only any
		for name, weight := range r.services {
			if len(r.services) == 1 {
				only = name
			} else {
				split = append(split, map[string]any{"s": name, "weight": weight})
			}
			if !known[name] {
				known[name] = true
				services = append(services, []any{name, "/health", 220, "h1", false})
			}
		}
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMs, r.targetMs, 1, r.attempts, only, split})
	}
	return map[string]any{
		"ver": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "max-attempts", "s", "traffic-split"},
			"rows":    rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health-check-path", "connection-limit", "protocol", "tls"},
			"rows":    services,
		},
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
