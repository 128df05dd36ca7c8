package configsync

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// skipUnlessMeasuring skips a measurement unless CONFIG_MEASURE is set, as it is by
// `make measure-config`.
func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("CONFIG_MEASURE") == "" {
		t.Skip("set CONFIG_MEASURE=1")
	}
}

// changesPerSecond is the target rate of 15,000 changes a day.
const changesPerSecond = 15000.0 / 86400

// targetServices and targetEndpoints are the numbers of services and upstreams in
// the target deployment.
const targetServices, targetEndpoints = 410, 15000

// targetDocument returns a document of the size of a service in the target deployment.
func targetDocument(name string, n int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"name":%q,"match":{"path_prefix":"/%s/"},"groups":[{"name":"main","upstreams":[`, name, name)
	for i := range targetEndpoints / targetServices {
		if i > 0 {
			b.WriteByte(',')
		}
		state := "active"
		if i == n%30 {
			state = "draining"
		}
		fmt.Fprintf(&b, `{"id":"%s-%d","address":"10.%d.%d.%d:8080","failure_domain":"campina-grande","state":%q}`, name, i, len(name), i/250, i%250, state)
	}
	b.WriteString(`]}],"rules":[{"name":"r","group":"main","repeat":"repeatable"}]}`)
	return []byte(b.String())
}

// wireSize returns the approximate size of a message in bytes, without gRPC overhead.
func wireSize(m Message) int {
	const known = 40
	switch m := m.(type) {
	case Summary:
		return 50
	case Buckets:
		return 24 + 8*len(m.Hashes)
	case Index:
		return 32 + known*len(m.Entries)
	case Announce:
		return 32 + known*len(m.Entries)
	case Want:
		return 32 + known*len(m.Entries)
	case Items:
		size := 32
		for _, it := range m.Versions {
			size += it.size()
		}
		return size
	}
	return 0
}

type figures struct {
	took     []time.Duration
	calls    float64 // per second, fleet
	bytes    float64 // sent per second and host
	messages float64 // sent per second and host
}

// observe publishes changes at the target rate and measures how long each takes
// to become current on every running host.
func observe(w *simulation, seconds int) figures {
	sent, messages := 0, 0
	w.onSend = func(_ string, m Message) { sent += wireSize(m); messages++ }
	began, calls := w.now, w.calls
	var took []time.Duration
	next := w.now
	for w.now.Sub(began) < time.Duration(seconds)*time.Second {
		next = next.Add(time.Duration(float64(time.Second) / changesPerSecond))
		w.run(next.Sub(w.now))
		name := fmt.Sprintf("s%d", w.rand.IntN(20))
		v := w.platform.publish(KeyPrefix+name, false, targetDocument(name, w.rand.IntN(5000)))
		at := w.now
		for w.now.Sub(at) < 30*time.Second && !currentOnAll(w, v) {
			w.run(time.Millisecond)
		}
		took = append(took, w.now.Sub(at))
		next = maxTime(next, w.now)
	}
	slices.Sort(took)
	span := w.now.Sub(began).Seconds()
	hosts := float64(len(w.hosts))
	return figures{took, float64(w.calls-calls) / span, float64(sent) / span / hosts, float64(messages) / span / hosts}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func currentOnAll(w *simulation, v Version) bool {
	for _, h := range w.hosts {
		if h.subject != nil && !h.paused && h.State().InForceID(v.Key).Compare(v.ID) < 0 {
			return false
		}
	}
	return true
}

func (f figures) String() string {
	return fmt.Sprintf("in force p50 %v max %v (%d changes); platform calls/s %.2f; sent per host: %.0f B/s, %.2f messages/s",
		f.took[len(f.took)/2], f.took[len(f.took)-1], len(f.took), f.calls, f.bytes, f.messages)
}

func startFleet(size int) *simulation {
	w := newSimulation(7, size, 4, newRealNode)
	for i := range 20 {
		name := fmt.Sprintf("s%d", i)
		w.platform.publish(KeyPrefix+name, false, targetDocument(name, i))
	}
	for _, h := range w.hosts {
		w.start(h)
	}
	w.run(30 * time.Second)
	return w
}

// TestMeasureFleetSize measures fleets of several sizes in virtual time, with a
// one-way latency of 1 to 6 ms.
func TestMeasureFleetSize(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, size := range []int{13, 18, 64, 256, 1024, 4096} {
		w := startFleet(size)
		t.Logf("%d hosts, no fault: %v", size, observe(w, 120))
		w.loss = 0.1
		t.Logf("%d hosts, 10%% of messages lost: %v", size, observe(w, 60))
		w.loss = 0
		w.platform.down = true
		w.run(30 * time.Second)
		calls := w.calls
		w.run(60 * time.Second)
		t.Logf("%d hosts, platform down: platform calls/s %.2f", size, float64(w.calls-calls)/60)
		w.platform.down = false
		w.run(30 * time.Second)
		for _, h := range w.hosts {
			if isReader(Options{Self: h.Member, ReadersPerDomain: 2}, others(w.members(), h.Address)) {
				h.subject = nil
			}
		}
		t.Logf("%d hosts, all readers stopped, member list unchanged: %v", size, observe(w, 60))
	}
}

// TestMeasureState measures memory and time for documents of the target size.
func TestMeasureState(t *testing.T) {
	skipUnlessMeasuring(t)
	const documents = 1000
	versions := make([]Version, 0, documents)
	for i := range documents {
		name := fmt.Sprintf("s%d", i)
		versions = append(versions, NewVersion(KeyPrefix+name, uint64(i+1), false, targetDocument(name, i)))
	}
	bytes := len(versions[500].Value)
	before := heapBytes()
	began := time.Now()
	s := NewState()
	for i := range versions {
		v := versions[i]
		v.Value = slices.Clone(v.Value)
		s.Merge(v)
	}
	took := time.Since(began)
	t.Logf("%d documents of %d bytes: %.1f MB, merged (parsed, checked) in %v, %v each",
		documents, bytes, float64(heapBytes()-before)/1e6, took, took/documents)
	for i := range versions {
		name := fmt.Sprintf("s%d", i)
		s.Merge(NewVersion(KeyPrefix+name, uint64(documents+i+1), false, targetDocument(name, i+1)))
	}
	t.Logf("after a second version of each: %.1f MB", float64(heapBytes()-before)/1e6)
	began = time.Now()
	list := s.InForce()
	t.Logf("InForce of %d documents: %v", len(list), time.Since(began))
	big := NewVersion(KeyPrefix+"big", 1, false, bigDocument())
	began = time.Now()
	r := s.Merge(big)
	t.Logf("one document of %d bytes: %v, error %v", len(big.Value), time.Since(began), r.Invalid)
	runtime.KeepAlive(s)
	runtime.KeepAlive(versions)
}

func bigDocument() []byte {
	var b strings.Builder
	b.WriteString(`{"name":"big","match":{"path_prefix":"/big/"},"groups":[`)
	for g := range 3 {
		if g > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"g%d","upstreams":[`, g)
		for i := range 3400 {
			if i > 0 {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `{"id":"upstream-%d","address":"10.0.%d.%d:8080","failure_domain":"campina-grande"}`, i, i/250, i%250)
		}
		b.WriteString(`]}`)
	}
	b.WriteString(`],"rules":[{"name":"r","group":"g0","repeat":"repeatable"}]}`)
	return []byte(b.String())
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
