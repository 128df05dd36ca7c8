package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// tenantSpec is one tenant of a configuration.
type tenantSpec struct {
	name, key   string
	rate, burst float64 // a rate of 0 means no limit
}

func withTenants(c map[string]any, tenants ...tenantSpec) map[string]any {
	var rows []any
	for _, t := range tenants {
		rows = append(rows, []any{t.name, []string{t.key}, t.rate, t.burst})
	}
	c["tenants"] = map[string]any{"columns": []string{"name", "api-keys", "rate-per-s", "burst"}, "rows": rows}
	return c
}

// tenant sends requests of one tenant whose headers try to name another one.
func tenant(record string, trouble bool) int {
	w, s := newWorld(), newStore()
	for i := range 4 {
		e := newEndpoint(w, fmt.Sprintf("i-%x0", i*2), service, zoneName(i), 4, func() behaviour { return behaviour{work: 10 * time.Millisecond} })
		s.put("servers/"+e.id, e.entry("ready"))
	}
	s.put("op/config", withTenants(configuration(3,
		route{"grid-fetch", siteHost, "/grid/", "safe", 2500, 400, 2, map[string]int{service: 1}},
		route{"renew-redeem", siteHost, "/renew/", "unsafe", 2500, 500, 2, map[string]int{service: 1}}),
		tenantSpec{name: "tala", key: "key-tala"}, tenantSpec{name: "bituin", key: "key-bituin"}))
	hosts := startHosts(w, s, 3, 41)
	if hosts == nil {
		return 2
	}
	lines := []string{"Dapplespindle-Tenant: bituin"}
	if trouble {
		lines = append(lines, "Connection: keep-alive, Dapplespindle-Tenant")
	}
	w.say("clients of the tenant tala send its key, and %q", lines)
	for i := range 60 {
		c, err := dialHost(hosts[i%len(hosts)])
		must(err)
		r := w.newRequest("GET", "/grid/"+fmt.Sprint(i), siteHost, "", true)
		if i%2 == 0 {
			r = w.newRequest("POST", "/renew/"+fmt.Sprint(i), siteHost, "one year", false)
		}
		r.key, r.tenant = "key-tala", "tala"
		w.exchange(c, r, 2500, lines...)
		_ = c.Close()
		time.Sleep(20 * time.Millisecond)
	}
	return w.finish(hosts, record)
}

// tenantName adds a tenant whose name is two words, and sends requests with its key well after that.
func tenantName(record string, trouble bool) int {
	w, s := newWorld(), newStore()
	for i := range 4 {
		e := newEndpoint(w, fmt.Sprintf("i-%x0", i*2), service, zoneName(i), 4, func() behaviour { return behaviour{work: 10 * time.Millisecond} })
		s.put("servers/"+e.id, e.entry("ready"))
	}
	grid := route{"grid-fetch", siteHost, "/grid/", "safe", 2500, 400, 2, map[string]int{service: 1}}
	first, added := tenantSpec{name: "tala", key: "key-tala"}, tenantSpec{name: "bituin-media", key: "key-bituin"}
	if trouble {
		added.name = "Bituin Media"
	}
	s.put("op/config", withTenants(configuration(3, grid), first))
	hosts := startHosts(w, s, 3, 51)
	if hosts == nil {
		return 2
	}
	s.put("op/config", withTenants(configuration(7, grid), first, added))
	w.say("version 7 is acknowledged: it adds the tenant %q", added.name)
	time.Sleep(5 * time.Second)
	for i := range 60 {
		c, err := dialHost(hosts[i%len(hosts)])
		must(err)
		r := w.newRequest("GET", "/grid/"+fmt.Sprint(i), siteHost, "", true)
		r.key, r.tenant = added.key, added.name
		w.exchange(c, r, 2500)
		_ = c.Close()
		if r.outcome == "401" {
			w.broken("CONFIG", "%s, sent 5 s after version 7 was acknowledged with the key of %q, gets 401", r.id, added.name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return w.finish(hosts, record)
}

// Bounds of the rule QUOTA.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.25
	quotaSlack   = 20
)

// quota lets tenants send 7.5 times as much as usual for 6.5 s, which is at their limits, while the seed hosts are
// killed and started again.
func quota(record string, trouble bool) int {
	w, s := newWorld(), newStore()
	const hostCount, seeds = 13, 3
	for i := range 8 {
		e := newEndpoint(w, fmt.Sprintf("i-%x0", i*2), service, zoneName(i), 8, func() behaviour { return behaviour{work: time.Millisecond} })
		s.put("servers/"+e.id, e.entry("ready"))
	}
	var tenants []tenantSpec
	for i, name := range []string{"tala", "bituin", "hiraya"} {
		tenants = append(tenants, tenantSpec{name: name, key: fmt.Sprintf("key-%d", i), rate: 100, burst: 10})
	}
	s.put("op/config", withTenants(configuration(3, route{"grid-fetch", siteHost, "/grid/", "safe", 2500, 400, 2, map[string]int{service: 1}}), tenants...))
	hosts := startHosts(w, s, hostCount, 101)
	if hosts == nil {
		return 2
	}
	w.say("three tenants of 100 requests a second and a burst of 10 send 750 a second each, for 6.5 s")
	hotFrom := time.Now()
	end := hotFrom.Add(6500 * time.Millisecond)
	var callers sync.WaitGroup
	for i := range 3 * hostCount * len(tenants) {
		t := tenants[i%len(tenants)]
		callers.Go(func() { quotaCaller(w, hosts[i/len(tenants)%hostCount], t, end) })
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		for _, h := range hosts[:seeds] {
			h.signal(syscall.SIGKILL, true)
		}
		w.say("the processes of 3 of 13 hosts, those in seeds, are killed")
		time.Sleep(300 * time.Millisecond)
		for _, h := range hosts[:seeds] {
			h.waitExit(2 * time.Second)
			h.first = false
			h.start()
		}
		w.say("they are started again")
	}
	callers.Wait()
	time.Sleep(time.Second)
	w.mu.Lock()
	runs := make(map[string][]sentRun)
	for _, r := range w.requests {
		if len(r.runAt) > 0 {
			runs[r.tenant] = append(runs[r.tenant], sentRun{r.sentAt, r.runAt[0]})
		}
	}
	w.mu.Unlock()
	for _, t := range tenants {
		checkQuota(w, t, runs[t.name], hotFrom)
	}
	return w.finish(hosts, record)
}

// quotaCaller is one client of a tenant. It sends some 19 requests a second.
func quotaCaller(w *world, h *host, t tenantSpec, end time.Time) {
	time.Sleep(time.Duration(rand.IntN(50)) * time.Millisecond)
	for time.Now().Before(end) {
		c, err := dialHost(h)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for keep := true; keep && time.Now().Before(end); {
			r := w.newRequest("GET", "/grid/1", siteHost, "", true)
			w.mu.Lock()
			r.key, r.tenant = t.key, t.name
			w.mu.Unlock()
			keep = w.exchange(c, r, 2500)
			time.Sleep(50 * time.Millisecond)
		}
		_ = c.Close()
	}
}

// sentRun is a request that ran: when it was sent, and when it first arrived at an endpoint that ran it.
type sentRun struct{ sent, run time.Time }

// checkQuota checks every window: it counts the requests that were both sent and run within it.
func checkQuota(w *world, t tenantSpec, runs []sentRun, from time.Time) {
	most, at := 0, from
	for _, first := range runs {
		n := 0
		for _, r := range runs {
			if !r.sent.Before(first.sent) && r.run.Sub(first.sent) < quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	limit := (t.rate*quotaWindow.Seconds()+t.burst)*(1+quotaOverage) + quotaSlack
	w.say("tenant %s: in the fullest window of 5 s, from %.1f s, %d requests were sent and ran; at most %.1f may", t.name, at.Sub(w.start).Seconds(), most, limit)
	for slot := from; slot.Before(from.Add(7 * time.Second)); slot = slot.Add(500 * time.Millisecond) {
		n := 0
		for _, r := range runs {
			if !r.run.Before(slot) && r.run.Before(slot.Add(500*time.Millisecond)) {
				n++
			}
		}
		w.say("tenant %s: %d ran in the half second from %.1f s", t.name, n, slot.Sub(w.start).Seconds())
	}
	if float64(most) > limit {
		w.broken("QUOTA", "tenant %s: %d requests were sent and ran in 5 s, over %.1f", t.name, most, limit)
	}
}
