package quota

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Unix(1000, 0)
	hostA = netip.MustParseAddrPort("10.0.0.1:7000")
	hostB = netip.MustParseAddrPort("10.0.0.2:7000")
)

// whole are the terms of a host that has been in charge for long.
var whole = GrantPolicy{Share: 1}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func ask(must int) *Request {
	return &Request{Customer: "c", Limit: Limit{PerSecond: 10, Burst: 20}, Required: must}
}

func TestAccountGrantsItsQuota(t *testing.T) {
	is := is.New(t)
	a := NewAccount(at(0), ask(0).Limit, whole)
	is.Equal(a.Grant(at(0), hostA, ask(20), whole).Granted, 20)
	refused := a.Grant(at(0), hostA, ask(3), whole)
	is.Equal(refused, Answer{Wait: 100 * time.Millisecond})
	is.Equal(a.Grant(at(0), hostA, ask(1), whole).Wait, 400*time.Millisecond) // after those three
	is.Equal(a.Grant(at(1000), hostA, ask(30), whole).Granted, 10)
	is.Equal(a.Grant(at(60_000), hostA, ask(30), whole).Granted, 20) // no more than the burst
	is.Equal(a.Grant(at(59_000), hostA, ask(1), whole).Granted, 0)   // a clock that was set back
}

// TestAccountLeavesRoomForThoseThatWait: what is only expected gets nothing where room is
// short.
func TestAccountLeavesRoomForThoseThatWait(t *testing.T) {
	is := is.New(t)
	a := NewAccount(at(0), ask(0).Limit, whole)
	ahead := ask(2)
	ahead.Prefetch = 100
	is.Equal(a.Grant(at(0), hostA, ahead, whole).Granted, 10)
	is.Equal(a.Grant(at(0), hostA, ahead, whole).Granted, 2)
}

// TestAccountOfAHostThatTakesOver: what hosts have used is not granted anew.
func TestAccountOfAHostThatTakesOver(t *testing.T) {
	is := is.New(t)
	a := NewAccount(at(0), ask(0).Limit, whole)
	used := ask(30)
	used.Used = 60 // of 70 in five seconds
	is.Equal(a.Grant(at(0), hostA, used, whole).Granted, 10)
	is.Equal(a.Grant(at(1000), hostA, used, whole).Granted, 10) // told once
	used.Used = 500
	is.Equal(a.Grant(at(2000), hostB, used, whole).Granted, 0)
	is.Equal(a.Grant(at(4000), hostB, used, whole).Granted, 0)
	later := NewAccount(at(0), ask(0).Limit, whole)
	is.Equal(later.Grant(at(6000), hostA, used, whole).Granted, 20) // it granted these itself
}

// TestAccountThatFollowsAnother begins with a part of the burst.
func TestAccountThatFollowsAnother(t *testing.T) {
	is := is.New(t)
	terms := GrantPolicy{Share: 1, TakenOver: true}
	a := NewAccount(at(0), ask(0).Limit, terms)
	is.Equal(a.Grant(at(0), hostA, ask(30), terms).Granted, 5)
	is.Equal(a.Grant(at(1000), hostB, ask(30), terms).Granted, 10)
}

func TestAccountOfAPart(t *testing.T) {
	is := is.New(t)
	a := NewAccount(at(0), ask(0).Limit, whole)
	is.Equal(a.Grant(at(0), hostA, ask(30), GrantPolicy{Share: 0.25}).Granted, 5)
	is.Equal(a.Grant(at(1000), hostA, ask(30), GrantPolicy{Share: 0.25}).Granted, 2)
}

func TestWallet(t *testing.T) {
	is := is.New(t)
	w := new(Allowance)
	is.True(!w.Take(at(0)))
	w.AddGrant(at(0), 3, 2)
	is.True(w.Take(at(10)))
	is.Equal(w.Used(at(10)), 4)
	is.True(!w.Take(at(1100))) // too old
	w.Return(at(1200))
	is.Equal(w.Used(at(1200)), 3)
	is.True(w.Take(at(1300)))
	is.Equal(w.Used(at(4400)), 4)
	is.Equal(w.Used(at(9000)), 0)
}

// TestShareOfOneHost: over all hosts no more than the quota, whatever each of them has.
func TestShareOfOneHost(t *testing.T) {
	is := is.New(t)
	w := new(Allowance)
	taken := 0
	for ms := range 10_000 {
		if w.TakeFallback(at(ms), Limit{PerSecond: 50, Burst: 50}, 100) {
			taken++
		}
	}
	is.Equal(taken, 4) // half a request a second, from nothing
}

// TestInCharge: all hosts name the same ones; a host that goes moves only its own customers,
// and deputies run elsewhere.
func TestInCharge(t *testing.T) {
	is := is.New(t)
	var hosts []Host
	for i := range 60 {
		hosts = append(hosts, Host{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7), strconv.Itoa(i % 3)})
	}
	counts := make(map[int]int)
	for c := range 600 {
		name := strconv.Itoa(c)
		first, deputy := SelectCoordinator(name, hosts)
		counts[first]++
		is.True(hosts[deputy].FailureDomain != hosts[first].FailureDomain)
		again, _ := SelectCoordinator(name, hosts[:59])
		is.True(again == first || first == 59)
	}
	for _, n := range counts {
		is.True(n < 30)
	}
	first, deputy := SelectCoordinator("a", hosts[:1])
	is.Equal([2]int{first, deputy}, [2]int{0, -1})
	first, _ = SelectCoordinator("a", nil)
	is.Equal(first, -1)
}

func TestValidate(t *testing.T) {
	is := is.New(t)
	is.NoErr(ask(1).Validate())
	for _, change := range []func(*Request){
		func(a *Request) { a.Customer = "" },
		func(a *Request) { a.Required = -1 },
		func(a *Request) { a.Used = 1 << 40 },
		func(a *Request) { a.Limit.PerSecond = 0 },
		func(a *Request) { a.Limit.Burst = -1 },
	} {
		bad := ask(1)
		change(bad)
		is.True(bad.Validate() != nil)
	}
	is.True((&Answer{Granted: -1}).Validate() != nil)
	is.True((&Answer{Wait: -1}).Validate() != nil)
}
