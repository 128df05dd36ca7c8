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
	service   = "faturas"
	hosts     = 3
	endpoints = 20
	// silent is how many endpoints leave without stating it, and stating how many state it.
	silent, stating = 3, 2
	perSecond       = 30.0 // at each host

	drainTimeout = 2 * time.Second
	contact      = 3 * time.Second
	// longer is how much longer than drainTimeout the endpoints that leave keep serving.
	longer = 13 * time.Second
	// held is how late the answer to the restarted host comes: two losses of one packet, which is
	// sent again after 0.2 s and after another 0.4 s.
	held = 600 * time.Millisecond
	// before is the traffic before the disruption, and after that once the endpoints have ended.
	before, after = 5 * time.Second, 3 * time.Second
)

var zones = []string{"caruaru", "petrolina"}

var order = kit.Route{
	Name: "hammer-post", Host: "sale.example", Prefix: "/post/", Kind: "unsafe", Service: service,
	TimeoutMs: 2500, TargetMs: 300, Priority: 1, MaxAttempts: 2,
}

func main() {
	var cleanups []func()
	kit.Run(func() (int, error) { return play(os.Args[1], os.Args[2], &cleanups) }, func() {
		for _, c := range cleanups {
			c()
		}
	})
}

// work is the time that a request takes: 120 ms at the median.
func work() time.Duration {
	return time.Duration(120 * math.Exp(0.3*rand.NormFloat64()) * float64(time.Millisecond))
}

// scene is what a case is played with.
type scene struct {
	record *kit.Record
	store  *kit.Store
	ledger *kit.Ledger
	fleet  *kit.Fleet
	links  []*kit.Link // of the hosts to the store
	// leavers are the endpoints that leave, those that don't state it first.
	leavers []*kit.Endpoint

	mu       sync.Mutex
	arrivals []arrival

	// leftAt is when the store had acknowledged that all leavers leave.
	leftAt time.Time
	// inTouchAt is from when on the host that was restarted is in touch.
	inTouchAt time.Time
}

// arrival is a request that reached an endpoint that leaves.
type arrival struct {
	endpoint *kit.Endpoint
	id       string
	at       time.Time
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
		load := kit.Load{Route: order, Unsafe: true, PerSecond: perSecond, DeadlineMs: 2500, Hosts: []*kit.Host{h}}
		clients.Go(func() { s.ledger.Send(ctx, s.record, load) })
	}
	err = s.disrupt()
	cancel()
	clients.Wait()
	if err != nil {
		return 0, err
	}
	return s.judge(), nil
}

// startEndpoints starts the endpoints. Those that leave are in the zone of the host that is
// restarted.
func (s *scene) startEndpoints(cleanups *[]func()) error {
	for i := range endpoints {
		e := &kit.Endpoint{
			ID: fmt.Sprintf("i-%x%09x", i%16, rand.Uint32()), Service: service, Zone: zones[i%len(zones)], Slots: 3, Queue: 6,
			Work: work, ProbeWork: 6 * time.Millisecond, Log: s.record, OnRun: s.ledger.Run,
		}
		if e.Zone == zones[(hosts-1)%len(zones)] && len(s.leavers) < silent+stating {
			s.leavers = append(s.leavers, e)
			e.OnRun = s.arrived
		}
		if err := e.Start(); err != nil {
			return err
		}
		*cleanups = append(*cleanups, e.End)
		if err := s.store.Put(e.Key(), e.Entry("ready")); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) arrived(e *kit.Endpoint, id string) {
	s.ledger.Run(e, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{e, id, time.Now()})
}

// leave lets the leavers leave. Each call of the store returns with its acknowledgement.
func (s *scene) leave() error {
	for i, e := range s.leavers {
		e.Leave()
		if i < silent {
			s.store.Remove(e.Key())
			s.record.Say("the store has acknowledged that %s is gone", e.ID)
			continue
		}
		if err := s.store.Put(e.Key(), e.Entry("draining")); err != nil {
			return err
		}
		s.record.Say("the store has acknowledged that %s is draining", e.ID)
	}
	s.leftAt = time.Now()
	s.record.Say("all this by %.3f", s.record.At(s.leftAt))
	return nil
}

// disrupt plays the disruption: endpoints leave, while a host that was killed starts again and the
// answer of the store to it is late.
func (s *scene) disrupt() error {
	time.Sleep(before)
	host := s.fleet.Hosts[hosts-1]
	left := make(chan error, 1)
	if kit.Trouble() {
		s.links[hosts-1].HoldUp("path-prefix=servers%2F&", held, func() { left <- s.leave() })
		host.Kill()
		s.record.Say("%s was killed", host.Name)
		time.Sleep(500 * time.Millisecond)
		if err := host.Start(); err != nil {
			return err
		}
		s.record.Say("%s starts at %.3f", host.Name, s.record.At(host.Started()))
	} else {
		left <- s.leave()
	}
	select {
	case err := <-left:
		if err != nil {
			return err
		}
	case <-time.After(10 * time.Second):
		return fmt.Errorf("%s did not read the endpoints", host.Name)
	}
	s.inTouchAt = s.leftAt
	if kit.Trouble() {
		s.inTouchAt = s.leftAt.Add(held + contact)
	}
	s.record.Say("%s is in touch from %.3f on", host.Name, s.record.At(s.inTouchAt))
	time.Sleep(time.Until(s.leftAt.Add(drainTimeout + longer)))
	for i, e := range s.leavers {
		if i >= silent {
			s.store.Remove(e.Key())
		}
		e.End()
	}
	s.record.Say("the endpoints that leave end")
	time.Sleep(after)
	return nil
}

// judge checks DRAIN.
func (s *scene) judge() int {
	bound := s.leftAt.Add(drainTimeout)
	late := map[string]int{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.arrivals {
		a := s.ledger.Attempt(r.id)
		if a == nil || !r.at.After(bound) || a.Host == s.fleet.Hosts[hosts-1] && r.at.Before(s.inTouchAt) {
			continue
		}
		late[a.Host.Name]++
		s.record.Say("DRAIN: %s, sent to %s at %.3f, reached %s at %.3f, %.1f s after the acknowledgement",
			r.id, a.Host.Name, s.record.At(a.Sent), r.endpoint.ID, s.record.At(r.at), r.at.Sub(s.leftAt).Seconds())
	}
	sent, served := 0, 0
	byStatus := map[int]int{}
	s.ledger.Each(func(a kit.Attempt, _ []string) {
		sent++
		byStatus[a.Status]++
		if a.Status == 200 {
			served++
		}
	})
	s.record.Say("requests: %d sent, %d served, by status %v", sent, served, byStatus)
	total := 0
	for _, n := range late {
		total += n
	}
	s.record.Say("reached endpoints that leave later than %s after the acknowledgement, from hosts in touch: %d %v", drainTimeout, total, late)
	if served < sent/2 {
		s.record.Say("too little was served for a judgement")
		return kit.CouldNotRun
	}
	if total > 0 {
		return kit.Broken
	}
	return kit.Held
}
