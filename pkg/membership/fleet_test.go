package membership_test

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
	"github.com/dapplespindle/dapplespindle/pkg/membership/wire"
)

const (
	period  = membership.DefaultPeriod
	tick    = period / membership.TicksPerPeriod
	domains = 4
)

// host is one real core with its simulated network and process state.
type host struct {
	core      *membership.Core
	address   netip.AddrPort
	process   uint64
	up        bool
	paused    bool
	partition int // hosts in different partitions cannot reach each other
	buffered  []delivery
}

// delivery is a datagram in transit.
type delivery struct {
	at       time.Time
	order    uint64
	from, to int
	datagram []byte
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// fleet simulates a network of real cores with a seeded message queue in virtual
// time.
type fleet struct {
	rand      *rand.Rand
	now       time.Time
	hosts     []*host
	queue     deliveries
	order     uint64
	codec     *wire.Codec
	loss, dup float64
	maxDelay  time.Duration
	bytes     int64
	messages  int64
	events    map[event.Code]int
	onEvent   func(at int, e event.Event)
	linkDown  func(from, to int) bool // links that are down, besides partitions
	err       error
}

func newFleet(n int, seed uint64) *fleet {
	codec, err := wire.NewCodec([][]byte{[]byte("a key of the fleet")})
	f := &fleet{
		rand:     rand.New(rand.NewPCG(seed, 0)),
		now:      time.Unix(1_700_000_000, 0),
		codec:    codec,
		maxDelay: 6 * time.Millisecond,
		events:   make(map[event.Code]int),
		err:      err,
	}
	for i := range n {
		f.hosts = append(f.hosts, &host{address: address(i)})
		f.start(i)
	}
	f.setHostList(0, f.live())
	return f
}

func address(i int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 10<<24+uint32(i)+1)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 7000)
}

// start runs a new process at the address of host i, with a random clock skew.
func (f *fleet) start(i int) {
	h := f.hosts[i]
	h.process = f.rand.Uint64()
	h.up, h.paused, h.buffered = true, false, nil
	skew := f.rand.Int64N(7200_000) - 3600_000
	h.core = membership.New(f.now, membership.Config{
		Address:       h.address,
		FailureDomain: string(rune('a' + i%domains)),
		Process:       h.process,
		Incarnation:   uint64(f.now.UnixMilli() + skew),
		Rand:          rand.New(rand.NewPCG(f.rand.Uint64(), 1)),
	})
}

// setHostList passes a host list to the running hosts.
func (f *fleet) setHostList(revision uint64, members []int) {
	var l []membership.ListedHost
	for _, i := range members {
		l = append(l, membership.ListedHost{Address: f.hosts[i].address})
	}
	for i := range f.hosts {
		f.apply(i, func(c *membership.Core) membership.Effects { return c.SetHosts(f.now, revision, l) })
	}
}

func (f *fleet) live() []int {
	var out []int
	for i, h := range f.hosts {
		if h.up {
			out = append(out, i)
		}
	}
	return out
}

// apply passes an input to host i, if it is running, and carries out the effects.
func (f *fleet) apply(i int, input func(*membership.Core) membership.Effects) {
	h := f.hosts[i]
	if !h.up || h.paused {
		return
	}
	effects := input(h.core)
	for _, e := range effects.Events {
		f.events[e.Code]++
		if f.onEvent != nil {
			f.onEvent(i, e)
		}
	}
	for _, s := range effects.Send {
		f.send(i, s)
	}
}

func (f *fleet) send(from int, s membership.Envelope) {
	datagram, err := f.codec.Encode(s.To, s.Message)
	if err != nil {
		f.err = err
		return
	}
	f.bytes += int64(len(datagram))
	f.messages++
	ip := s.To.Addr().As4()
	to := int(binary.BigEndian.Uint32(ip[:])-10<<24) - 1
	if to >= len(f.hosts) {
		return
	}
	copies := 1
	if f.rand.Float64() < f.dup {
		copies = 2
	}
	for range copies {
		if f.rand.Float64() < f.loss {
			continue
		}
		f.order++
		delay := time.Duration(f.rand.Int64N(int64(f.maxDelay)))
		heap.Push(&f.queue, delivery{f.now.Add(delay), f.order, from, to, datagram})
	}
}

func (f *fleet) deliver(d delivery) {
	to := f.hosts[d.to]
	if !to.up || f.hosts[d.from].partition != to.partition || f.linkDown != nil && f.linkDown(d.from, d.to) {
		return
	}
	if to.paused {
		to.buffered = append(to.buffered, d)
		return
	}
	m, err := f.codec.Decode(to.address, d.datagram)
	if err != nil {
		f.err = err
		return
	}
	f.apply(d.to, func(c *membership.Core) membership.Effects { return c.Receive(f.now, m) })
}

// resume resumes a paused host; its socket has buffered the first datagrams.
func (f *fleet) resume(i int) {
	const socketBuffer = 200
	h := f.hosts[i]
	h.paused = false
	kept := h.buffered[:min(len(h.buffered), socketBuffer)]
	h.buffered = nil
	for _, d := range kept {
		f.deliver(d)
	}
}

// run advances the virtual time by n periods.
func (f *fleet) run(n int) {
	for range n * membership.TicksPerPeriod {
		end := f.now.Add(tick)
		for len(f.queue) > 0 && f.queue[0].at.Before(end) {
			d := heap.Pop(&f.queue).(delivery)
			f.now = d.at
			f.deliver(d)
		}
		f.now = end
		for i := range f.hosts {
			f.apply(i, func(c *membership.Core) membership.Effects { return c.Tick(f.now) })
		}
	}
}

// runUntil runs until done returns true, for at most bound periods; it returns
// the number of periods and the final result of done.
func (f *fleet) runUntil(bound int, done func() bool) (int, bool) {
	for n := range bound {
		if done() {
			return n, true
		}
		f.run(1)
	}
	return bound, done()
}

// disagreement describes a host whose view is wrong, or returns "".
func (f *fleet) disagreement() string {
	for _, h := range f.hosts {
		if !h.up || h.paused {
			continue
		}
		s := h.core.Snapshot()
		if s.Resuming || !s.Joined {
			return h.address.String() + " resuming or not joined"
		}
		for _, other := range f.hosts {
			m := s.Find(other.address)
			seen := m != nil && m.State == membership.Alive
			if seen != (other.up && !other.paused) || seen && m.Process != other.process {
				return h.address.String() + " is wrong about " + other.address.String()
			}
		}
	}
	return ""
}

func (f *fleet) agreed() bool { return f.disagreement() == "" }

// violations counts violated invariants and codec errors.
func (f *fleet) violations() int {
	n := 0
	for code := event.InvariantIncarnationBack; code <= event.InvariantWakingJudged; code++ {
		n += f.events[code]
	}
	if f.err != nil {
		n++
	}
	return n
}
