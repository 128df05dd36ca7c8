package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		os.Exit(2)
	}
}

// sentRequest is one client attempt and what became of it.
type sentRequest struct {
	id, method, target, host, body string
	safe                           bool
	sentAt                         time.Time
	key, tenant                    string // the client's key, and the name of the tenant that owns it
	outcome                        string // status, or how it ended
	promised                       bool   // 408, 421, 429 or 503
	runs                           []string
	runAt                          []time.Time
	runBy                          []*endpoint
}

// world records what was sent, run and answered, and checks the rules.
type world struct {
	dir   string
	start time.Time

	mu       sync.Mutex
	requests map[string]*sentRequest
	order    []string
	breaks   map[string][]string
	notes    []string
	record   strings.Builder
	next     int
}

func newWorld() *world {
	dir, err := os.MkdirTemp("", "fleet")
	must(err)
	return &world{dir: dir, start: time.Now(), requests: make(map[string]*sentRequest), breaks: make(map[string][]string)}
}

func (w *world) at() string { return fmt.Sprintf("%8.3f s", time.Since(w.start).Seconds()) }

// say adds a line to the record.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(&w.record, "%s  %s\n", w.at(), fmt.Sprintf(format, args...))
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.notes) < 200 {
		w.notes = append(w.notes, w.at()+"  "+fmt.Sprintf(format, args...))
	}
}

// broken records that a rule was broken.
func (w *world) broken(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breakLocked(rule, format, args...)
}

func (w *world) breakLocked(rule, format string, args ...any) {
	w.breaks[rule] = append(w.breaks[rule], w.at()+"  "+fmt.Sprintf(format, args...))
}

// newRequest registers a client attempt before it is sent.
func (w *world) newRequest(method, target, host, body string, safe bool) *sentRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	r := &sentRequest{id: fmt.Sprintf("%08x%08x", w.next*2654435761&0xffffffff, w.next), method: method, target: target, host: host, body: body, safe: safe, sentAt: time.Now()}
	w.requests[r.id] = r
	w.order = append(w.order, r.id)
	return r
}

// ran records that an endpoint began to work on a request, for the tenant that the system named to it.
func (w *world) ran(id, method, target, body, tenant string, e *endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.requests[id]
	if r == nil {
		w.breakLocked("UNASKED", "endpoint %s runs id %q that no client sent", e.id, id)
		return
	}
	if r.method != method || r.target != target || r.body != body {
		w.breakLocked("UNASKED", "endpoint %s runs %s changed: %s %s, %d bytes", e.id, id, method, target, len(body))
	}
	if r.key != "" && tenant != r.tenant {
		w.breakLocked("UNASKED", "endpoint %s runs %s for tenant %q; the client's key is that of %q", e.id, id, tenant, r.tenant)
	}
	r.runs = append(r.runs, e.id)
	r.runAt = append(r.runAt, time.Now())
	r.runBy = append(r.runBy, e)
	if !r.safe && len(r.runs) > 1 {
		w.breakLocked("TWICE", "%s %s %s ran at %v", id, r.method, r.target, r.runs)
	}
	if !r.safe && r.promised {
		w.breakLocked("REFUSED", "%s ran at %s after the client got %s", id, e.id, r.outcome)
	}
}

// answerBody is the whole body of the answer to a request.
func (w *world) answerBody(id string, e *endpoint) string {
	n := 0
	for _, c := range id {
		n = n*31 + int(c)
	}
	size := 20 + (n&0x7fffffff)%20000
	return strings.Repeat(fmt.Sprintf("%s at %s. ", id, e.id), size/30+1)
}

// ended records the end of a client attempt.
func (w *world) ended(r *sentRequest, outcome string, promised bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.outcome = outcome
	r.promised = promised
	if promised && !r.safe && len(r.runs) > 0 {
		w.breakLocked("REFUSED", "%s got %s, and %v ran it", r.id, outcome, r.runs)
	}
}

// finish writes the record and returns the exit code.
func (w *world) finish(hosts []*host, path string) int {
	for _, h := range hosts {
		h.mu.Lock()
		for _, end := range h.ends {
			w.breakLocked("Own ends", "host %d ended by itself: %s", h.number, end)
		}
		h.mu.Unlock()
		h.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var out strings.Builder
	out.WriteString(w.record.String())
	for _, id := range w.order {
		r := w.requests[id]
		fmt.Fprintf(&out, "%s %s %s %s: answered %s; run", r.id, r.method, r.target, r.tenant, r.outcome)
		for i, by := range r.runs {
			fmt.Fprintf(&out, " by %s at %.3f s", by, r.runAt[i].Sub(w.start).Seconds())
		}
		out.WriteString("\n")
	}
	tally := make(map[string]int)
	for _, id := range w.order {
		r := w.requests[id]
		tally[map[bool]string{true: "safe ", false: "unsafe "}[r.safe]+r.outcome]++
	}
	fmt.Fprintf(&out, "requests: %d\n", len(w.order))
	for k, n := range tally {
		fmt.Fprintf(&out, "  %s: %d\n", k, n)
	}
	for _, n := range w.notes {
		fmt.Fprintf(&out, "note %s\n", n)
	}
	code := 0
	for rule, list := range w.breaks {
		code = 1
		fmt.Fprintf(&out, "BROKEN %s: %d\n", rule, len(list))
		for _, l := range list[:min(len(list), 12)] {
			fmt.Fprintf(&out, "  %s\n", l)
		}
	}
	if code == 0 {
		out.WriteString("no rule was broken\n")
	}
	must(os.WriteFile(path, []byte(out.String()), 0o644))
	fmt.Print(out.String()[max(0, out.Len()-1500):])
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", filepath.Clean(w.dir))
	}
	return code
}
