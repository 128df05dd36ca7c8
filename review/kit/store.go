package kit

import (
	"encoding/base64"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// item is one key as the store returns it, in the form of deploy/wire.toml.
type item struct {
	Key      string `cbor:"k"`
	Value    string `cbor:"v,omitempty"` // base64
	Revision uint64 `cbor:"r"`
	Created  uint64 `cbor:"c,omitempty"`
	Removed  bool   `cbor:"removed,omitempty"`
}

// Store is a stand-in of the users' store. All its answers are current.
type Store struct {
	server *http.Server
	addr   string

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{} // closed at the next change
}

// maxPage is the number of items of a page.
const maxPage = 500

// NewStore starts a store on loopback.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{addr: ln.Addr().String(), items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dapplespindle/kv-range", s.list)
	mux.HandleFunc("GET /dapplespindle/kv-watch", s.watch)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// Address returns its "IP:port".
func (s *Store) Address() string { return s.addr }

// Close stops it.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a key. The return is the acknowledgement.
func (s *Store) Put(key string, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.revision, Created: created}
	s.items[key] = it
	s.record(it)
	return nil
}

// Remove removes a key. The return is the acknowledgement.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > maxPage
	found = found[:min(len(found), maxPage)]
	answer(w, map[string]any{"items": found, "has-more": more, "as-of": asOf})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, asOf := s.changed, s.revision
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("path-prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, map[string]any{"events": events, "as-of": asOf})
			return
		case <-changed:
		}
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/cbor")
	_ = cbor.NewEncoder(w).Encode(v) // fails if the caller has gone
}

// Route is one route of a configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMs, TargetMs, Priority     int
	MaxAttempts                       int
}

// Configuration returns the value of op/config: routes, their services and the limits for clients.
func Configuration(version uint64, connectionLimit int, routes ...Route) map[string]any {
	rows, services := []any{}, []any{}
	known := make(map[string]bool)
	for _, r := range routes {
		rows = append(rows, []any{r.Name, r.Host, r.Prefix, r.Kind, r.TimeoutMs, r.TargetMs, r.Priority, nil, r.MaxAttempts, r.Service})
		if !known[r.Service] {
			known[r.Service] = true
			services = append(services, []any{r.Service, "/health", connectionLimit, "h1", false})
		}
	}
	return map[string]any{
		"ver": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "traffic-split", "max-attempts", "s"},
			"rows":    rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health-check-path", "connection-limit", "protocol", "tls"},
			"rows":    services,
		},
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 1 << 26, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
