// Command 2 plays case 2 of the review; claim.txt describes it.
package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/dapplespindle/dapplespindle/review/kit"
)

const (
	service   = "fekparancs"
	hosts     = 3
	endpoints = 7
	perSecond = 30.0 // at each host

	drainTimeout = 2 * time.Second
	contact      = 3 * time.Second
	// longer is how much longer than drainTimeout the endpoint that leaves keeps serving.
	longer = 10 * time.Second
	// held is how late the answer to the restarted host comes: two losses of one packet, which is
	// sent again after 0.2 s and after another 0.4 s.
	held = 600 * time.Millisecond
	// before is the traffic before the disruption, and after that once the endpoint has ended.
	before, after = 5 * time.Second, 3 * time.Second
)

var zones = []string{"gyor-hall", "moson-hall"}

var order = kit.Route{
	Name: "brake-order", Host: "orders.example", Prefix: "/order/", Kind: "unsafe", Service: service,
	TimeoutMs: 2500, TargetMs: 800, Priority: 1, MaxAttempts: 2,
}

func main() {
	var cleanups []func()
	kit.Run(func() (int, error) { return play(os.Args[1], os.Args[2], &cleanups) }, func() {
		for _, c := range cleanups {
			c()
		}
	})
}

// work is the time that a request takes: 290 ms at the median.
func work() time.Duration {
	return time.Duration(290 * math.Exp(0.3*rand.NormFloat64()) * float64(time.Millisecond))
}

// scene is what a case is played with.
type scene struct {
	record    *kit.Record
	store     *kit.Store
	ledger    *kit.Ledger
	fleet     *kit.Fleet
	links     []*kit.Link // of the hosts to the store
	leaver    *kit.Endpoint
	arrivals  arrivals
	removedAt time.Time // acknowledgement of the removal of the leaver's entry
	inTouchAt time.Time // from when on the restarted host is in touch
}

// arrivals are the requests that reached the endpoint that leaves.
type arrivals struct {
	mu  sync.Mutex
	ids []string
	at  []time.Time
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids, a.at = append(a.ids, id), append(a.at, time.Now())
}

func play(program, file string, cleanups *[]func()) (int, error) {
	s := &scene{ledger: kit.NewLedger()}
	var err error
	if s.record, err = kit.NewRecord(file); err != nil {
		return 0, err
	}
	if s.store, err = kit.NewStore(); err != nil {
		return 0, err
	}
	*cleanups = append(*cleanups, s.store.Close)
	if err := s.startEndpoints(cleanups); err != nil {
		return 0, err
	}
	if err := s.store.Put("op/config", kit.Configuration(7, 260, order)); err != nil {
		return 0, err
	}
	for range hosts {
		l, err := kit.NewLink(s.store.Address())
		if err != nil {
			return 0, err
		}
		*cleanups = append(*cleanups, l.Close)
		s.links = append(s.links, l)
	}
	s.fleet, err = kit.NewFleet(program, hosts, zones, func(i int) string { return s.links[i].Address() })
	if err != nil {
		return 0, err
	}
	*cleanups = append(*cleanups, s.fleet.Close)
	if err := s.fleet.Start(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // the hosts find each other
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, h := range s.fleet.Hosts {
		load := kit.Load{Route: order, Unsafe: true, PerSecond: perSecond, DeadlineMs: 5000, Hosts: []*kit.Host{h}}
		clients.Go(func() { s.ledger.Send(ctx, s.record, load) })
	}
	err = s.leave()
	cancel()
	clients.Wait()
	if err != nil {
		return 0, err
	}
	return s.judge(), nil
}

func (s *scene) startEndpoints(cleanups *[]func()) error {
	for i := range endpoints {
		e := &kit.Endpoint{
			ID: fmt.Sprintf("i-%x%09x", 2*i+1, rand.Uint32()), Service: service, Zone: zones[i%len(zones)], Slots: 6, Queue: 12,
			Work: work, TellsLoad: true, Log: s.record,
		}
		e.OnRun = s.ledger.Run
		if i == 0 {
			s.leaver = e
			e.OnRun = func(e *kit.Endpoint, id string) {
				s.ledger.Run(e, id)
				s.arrivals.add(id)
			}
		}
		if err := e.Start(); err != nil {
			return err
		}
		*cleanups = append(*cleanups, e.End)
		if err := s.store.Put(e.Key(), e.Entry()); err != nil {
			return err
		}
	}
	return nil
}

// leave plays the disruption: an endpoint leaves that never states draining, while a host that was
// killed starts again and the answer of the store to it is late.
func (s *scene) leave() error {
	time.Sleep(before)
	host := s.fleet.Hosts[hosts-1]
	removed := make(chan struct{})
	remove := func() {
		s.store.Remove(s.leaver.Key())
		s.removedAt = time.Now()
		s.record.Say("the store acknowledges at %.3f that %s is gone", s.record.At(s.removedAt), s.leaver.ID)
		close(removed)
	}
	if kit.Trouble() {
		s.links[hosts-1].HoldUp("path-prefix=servers%2F&", held, remove)
		host.Kill()
		s.record.Say("%s was killed", host.Name)
		time.Sleep(500 * time.Millisecond)
		if err := host.Start(); err != nil {
			return err
		}
		s.record.Say("%s starts at %.3f", host.Name, s.record.At(host.Started()))
	} else {
		go remove()
	}
	select {
	case <-removed:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("%s did not read the endpoints", host.Name)
	}
	s.inTouchAt = s.removedAt
	if kit.Trouble() {
		s.inTouchAt = s.removedAt.Add(held + contact)
	}
	s.record.Say("%s is in touch from %.3f on", host.Name, s.record.At(s.inTouchAt))
	time.Sleep(time.Until(s.removedAt.Add(drainTimeout + longer)))
	s.leaver.End()
	s.record.Say("%s ends", s.leaver.ID)
	time.Sleep(after)
	return nil
}

// judge checks DRAIN.
func (s *scene) judge() int {
	bound := s.removedAt.Add(drainTimeout)
	late := map[string]int{}
	total := 0
	s.arrivals.mu.Lock()
	defer s.arrivals.mu.Unlock()
	for i, id := range s.arrivals.ids {
		a := s.ledger.Attempt(id)
		if a == nil || !s.arrivals.at[i].After(bound) {
			continue
		}
		if a.Host == s.fleet.Hosts[hosts-1] && s.arrivals.at[i].Before(s.inTouchAt) {
			continue
		}
		late[a.Host.Name]++
		if total++; total <= 5 {
			s.record.Say("DRAIN: %s, sent to %s at %.3f, reached %s at %.3f, %.1f s after it was gone",
				id, a.Host.Name, s.record.At(a.Sent), s.leaver.ID, s.record.At(s.arrivals.at[i]), s.arrivals.at[i].Sub(s.removedAt).Seconds())
		}
	}
	sent, served, lost := 0, 0, 0
	s.ledger.Each(func(a kit.Attempt, runs []string) {
		sent++
		switch {
		case a.Status == 200:
			served++
		case len(runs) > 0 && runs[0] == s.leaver.ID:
			lost++
			s.record.Add("lost with %s: %s, sent to %s, answered with %d", s.leaver.ID, a.ID, a.Host.Name, a.Status)
		}
	})
	s.record.Say("requests: %d sent, %d served, %d that %s had begun were not answered by it", sent, served, lost, s.leaver.ID)
	s.record.Say("reached %s later than %s after the acknowledgement, from hosts in touch: %d %v", s.leaver.ID, drainTimeout, total, late)
	if served < sent/2 {
		s.record.Say("too little was served for a judgement")
		return kit.CouldNotRun
	}
	if total > 0 {
		return kit.Broken
	}
	return kit.Held
}
