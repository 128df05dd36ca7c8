package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	siteHost = "solver.example"
	service  = "solver-desk"
)

// startTime is how long after the machines' start traffic begins. The site has 10 s.
const startTime = 20 * time.Second

// startHosts starts hosts and waits until they are ready and startTime has passed. It returns nil if they can't start.
func startHosts(w *world, s *store, n, firstIP int) []*host {
	from := time.Now()
	hosts := newHosts(n, s.address, w.dir, firstIP)
	for _, h := range hosts {
		h.start()
	}
	if !waitReady(hosts, 20*time.Second) {
		fmt.Println("the hosts are not ready")
		for _, h := range hosts {
			h.kill()
		}
		return nil
	}
	time.Sleep(time.Until(from.Add(startTime)))
	return hosts
}

// lossy decides that some endpoints lose some answers during a time.
type lossy struct {
	mu     sync.Mutex
	active bool
	share  float64
}

func (l *lossy) set(active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = active
}

func (l *lossy) behaviour() behaviour {
	l.mu.Lock()
	defer l.mu.Unlock()
	return behaviour{work: 10 * time.Millisecond, lost: l.active && rand.Float64() < l.share}
}

// routeName adds a route for what must not be repeated, under a name with an underscore.
func routeName(record string, trouble bool) int {
	return newRoute(record, trouble, 21, route{"renew_redeem", siteHost, "/renew/", "unsafe", 2500, 500, 2, map[string]int{service: 1}}, "/renew/")
}

// routePrefix adds a route for what must not be repeated, whose prefix holds an encoded letter.
func routePrefix(record string, trouble bool) int {
	return newRoute(record, trouble, 31, route{"renew-redeem", siteHost, "/r%C3%A9abonner/", "unsafe", 2500, 500, 2, map[string]int{service: 1}}, "/r%C3%A9abonner/")
}

// newRoute adds a route to a configuration with a safe route for all of the host, both to the same service. Well
// after that, endpoints lose answers for four seconds.
func newRoute(record string, trouble bool, firstIP int, added route, prefix string) int {
	w, s := newWorld(), newStore()
	loss := &lossy{share: 0.4}
	for i := range 6 {
		decide := loss.behaviour
		if i >= 4 { // 4 of 6 endpoints are up to 0.67 of them; every second one of these stays out of it
			decide = func() behaviour { return behaviour{work: 10 * time.Millisecond} }
		}
		if i == 3 {
			decide = func() behaviour { return behaviour{work: 10 * time.Millisecond} }
		}
		e := newEndpoint(w, fmt.Sprintf("i-%x0", i*2), service, zoneName(i), 4, decide)
		s.put("servers/"+e.id, e.entry("ready"))
	}
	all := route{"grid-fetch", siteHost, "/", "safe", 2500, 400, 2, map[string]int{service: 1}}
	s.put("op/config", configuration(3, all))
	hosts := startHosts(w, s, 3, firstIP)
	if hosts == nil {
		return 2
	}
	s.put("op/config", configuration(7, all, added))
	w.say("version 7 is acknowledged: it adds the route %q, %s, of the kind unsafe", added.name, added.prefix)
	time.Sleep(5 * time.Second)
	if trouble {
		loss.set(true)
		w.say("3 of 6 endpoints lose 0.4 of their answers, for 4 s")
	}
	var callers sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	for i := range 6 {
		callers.Go(func() {
			for time.Now().Before(end) {
				c, err := dialHost(hosts[i%len(hosts)])
				if err != nil {
					continue
				}
				for keep := true; keep && time.Now().Before(end); {
					r := w.newRequest("POST", prefix+fmt.Sprint(rand.IntN(1000)), siteHost, "one year", false)
					keep = w.exchange(c, r, 2500)
					time.Sleep(150 * time.Millisecond)
				}
				_ = c.Close()
			}
		})
	}
	callers.Wait()
	loss.set(false)
	time.Sleep(time.Second)
	return w.finish(hosts, record)
}
