package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

func TestFaultsOnePerRow(t *testing.T) {
	rows := []struct {
		name  string
		fault func(f *fleet)
		bound int // periods until all agree
	}{
		{"join", func(*fleet) {}, 30},
		{"kill", func(f *fleet) { f.hosts[3].up = false }, 30},
		{"restart at once", func(f *fleet) { f.start(3); f.setHostList(2, f.live()) }, 40},
		{"kill, forget the list, restart", func(f *fleet) {
			f.hosts[3].up = false
			f.run(30)
			f.start(3)
			f.setHostList(2, f.live())
		}, 40},
		{"pause", func(f *fleet) { f.hosts[3].paused = true; f.run(60); f.resume(3) }, 40},
		{"short pause of half", func(f *fleet) {
			for i := range 7 {
				f.hosts[i].paused = true
			}
			f.run(5)
			for i := range 7 {
				f.resume(i)
			}
		}, 60},
		{"split and heal", func(f *fleet) { split(f, 6); f.run(60); heal(f) }, 90},
		{"stop", func(f *fleet) {
			f.apply(3, func(c *membership.Core) membership.Effects { return c.Stop(f.now) })
			f.run(1)
			f.hosts[3].up = false
		}, 10},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(13, 1)
			f.run(30)
			is.Equal(f.disagreement(), "")
			row.fault(f)
			_, done := f.runUntil(row.bound, f.agreed)
			is.True(done) // all agree within the bound
			is.Equal(f.violations(), 0)
		})
	}
}

func split(f *fleet, first int) {
	for i, h := range f.hosts {
		if i < first {
			h.partition = 1
		}
	}
}

func heal(f *fleet) {
	for _, h := range f.hosts {
		h.partition = 0
	}
}

// A list with dead hosts and without most live ones is sufficient to find all
// members if it contains one live host.
func TestJoinFromStaleList(t *testing.T) {
	is := is.New(t)
	f := newFleet(13, 2)
	for i := 8; i < 13; i++ {
		f.hosts[i].up = false
	}
	f.run(40)
	f.hosts[5].up = false
	f.run(40)
	f.start(5)
	f.setHostList(3, []int{0, 8, 9, 10, 11, 12})
	_, done := f.runUntil(40, f.agreed)
	is.True(done)
}

func TestLeavingIsSeenAndNotTakenBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 3)
	f.run(30)
	f.apply(4, func(c *membership.Core) membership.Effects { return c.Leave(f.now) })
	f.run(8)
	for _, h := range f.hosts {
		is.Equal(h.core.Snapshot().Find(address(4)).Status(), "leaving")
	}
	split(f, 4)
	f.run(40)
	heal(f)
	f.run(60)
	for _, h := range f.hosts {
		is.Equal(h.core.Snapshot().Find(address(4)).Status(), "leaving")
	}
}

func TestListMarksLeavingAndOlderListsDoNotRevive(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 4)
	f.run(20)
	set := func(revision uint64, leaving bool) {
		list := []membership.ListedHost{{Address: address(2), Leaving: leaving}}
		f.apply(0, func(c *membership.Core) membership.Effects { return c.SetHosts(f.now, revision, list) })
	}
	set(9, true)
	set(8, false)
	is.True(!f.hosts[0].core.Snapshot().Find(address(2)).Usable())
	is.True(f.hosts[1].core.Snapshot().Find(address(2)).Usable()) // the other host has not received that list
	set(10, false)
	is.True(f.hosts[0].core.Snapshot().Find(address(2)).Usable())
}

func TestMetadataReachesAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 5)
	f.run(20)
	is.NoErr(f.hosts[4].core.SetMetadata([]byte("revision 7")))
	is.Equal(f.hosts[4].core.SetMetadata(make([]byte, 65)), membership.ErrMetadataTooLong)
	f.run(20)
	for _, h := range f.hosts {
		is.Equal(string(h.core.Snapshot().Find(address(4)).Metadata), "revision 7")
	}
}

// A host that resumes from a pause suspects nobody before a peer has replied.
func TestWakingHostLearnsFirst(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 6)
	f.run(30)
	f.hosts[0].paused = true
	f.run(30)
	f.hosts[0].partition = 1 // resumed, but unreachable
	f.resume(0)
	var suspicions []string
	f.onEvent = func(at int, e event.Event) {
		if at == 0 && (e.Code == event.MemberSuspected || e.Code == event.MemberDead) {
			suspicions = append(suspicions, fmt.Sprint(e.Code, e.Detail))
		}
	}
	f.run(8)
	is.True(f.hosts[0].core.Snapshot().Resuming)
	is.Equal(len(suspicions), 0)
	heal(f)
	_, done := f.runUntil(30, f.agreed)
	is.True(done)
	is.Equal(f.violations(), 0)
}

// Datagrams sent over 200 periods are replayed to a fleet whose state has
// advanced since.
func TestReplayedDatagramsChangeNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 7)
	f.run(10)
	f.dup = 0
	var old []delivery
	for range 200 {
		f.run(1)
		old = append(old, f.queue...)
	}
	f.start(4)
	f.setHostList(2, f.live())
	f.run(40)
	is.Equal(f.disagreement(), "")
	for _, d := range old {
		f.deliver(d)
	}
	is.Equal(f.disagreement(), "")
	f.run(10)
	is.Equal(f.disagreement(), "")
	is.Equal(f.violations(), 0)
}

func TestDeadMembersAreForgotten(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 8)
	f.run(20)
	f.hosts[4].up = false
	f.run(680)
	for i := range 4 {
		is.Equal(f.hosts[i].core.Snapshot().Find(address(4)), nil)
	}
	is.Equal(f.events[event.MemberForgotten], 4)
}

func TestMemberLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 9)
	c := membership.New(f.now, membership.Config{Address: address(0), MaxMembers: 1, Rand: f.rand})
	for i := 1; i < 4; i++ {
		from := membership.Entry{Address: address(i), Process: 1, Incarnation: 1, State: membership.Alive}
		c.Receive(f.now.Add(time.Millisecond), &membership.Message{From: from, Body: membership.Ping{}})
	}
	is.Equal(len(c.Snapshot().Members), 2)
}

// deaths counts how often a host considered one of the given hosts dead.
func deaths(f *fleet, of func(at, member int) bool) *int {
	n := 0
	f.onEvent = func(at int, e event.Event) {
		for i := range f.hosts {
			if e.Code == event.MemberDead && e.Detail == address(i).String() && of(at, i) {
				n++
			}
		}
	}
	return &n
}

// When a partition heals, no side considers its own members dead because the
// other side claims so.
func TestHealingBringsNoFalseDeaths(t *testing.T) {
	is := is.New(t)
	f := newFleet(13, 10)
	f.run(30)
	split(f, 6)
	f.run(60)
	wrong := deaths(f, func(at, member int) bool { return (at < 6) == (member < 6) })
	heal(f)
	f.run(60)
	is.Equal(f.disagreement(), "")
	is.Equal(*wrong, 0)
}

// Two hosts that cannot reach each other directly do so through indirect probes.
func TestCutLinkIsNoDeath(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 11)
	f.run(30)
	f.linkDown = func(from, to int) bool { return from+to == 1 }
	suspected := 0
	f.onEvent = func(_ int, e event.Event) {
		if e.Code == event.MemberSuspected {
			suspected++
		}
	}
	f.run(200)
	is.Equal(suspected, 0)
	is.Equal(f.disagreement(), "")
}

// Updates that are no longer gossiped still reach a host through syncs.
func TestComparisonFindsWhatGossipMissed(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 12)
	f.run(20)
	push := &membership.Message{From: f.hosts[1].core.Snapshot().Self.Entry, Body: membership.SyncPush{}}
	for i := 10; i < 60; i++ {
		push.Updates = append(push.Updates, membership.Entry{
			Address: address(i), Process: 1, Incarnation: 1, State: membership.Alive,
		})
	}
	f.apply(0, func(c *membership.Core) membership.Effects { return c.Receive(f.now, push) })
	f.run(15)
	is.True(len(f.hosts[1].core.Snapshot().Members) >= 50)
}

// Two processes that happen to start with the same incarnation are distinguished
// in whatever order the updates arrive.
func TestProcessesOfOneIncarnationAreOrdered(t *testing.T) {
	is := is.New(t)
	entry := func(process uint64, s membership.State) membership.Entry {
		return membership.Entry{Address: address(1), Process: process, Incarnation: 5, State: s}
	}
	from := membership.Entry{Address: address(2), Process: 1, Incarnation: 1, State: membership.Alive}
	old, restarted := entry(1, membership.Suspect), entry(2, membership.Alive)
	for _, updates := range [][]membership.Entry{{old, restarted}, {restarted, old}} {
		f := newFleet(1, 13)
		f.apply(0, func(c *membership.Core) membership.Effects {
			return c.Receive(f.now, &membership.Message{From: from, Updates: updates, Body: membership.Ping{}})
		})
		got := f.hosts[0].core.Snapshot().Find(address(1))
		is.Equal(got.Process, uint64(2))
		is.Equal(got.State, membership.Alive)
	}
}

// Unsolicited acks do not keep a killed host alive.
func TestUnaskedAcksAreNoSignOfLife(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 14)
	f.run(20)
	killed := f.hosts[3].core.Snapshot().Self.Entry
	f.hosts[3].up = false
	for range 30 {
		for i := range 3 {
			ack := &membership.Message{From: killed, Body: membership.Ack{Sequence: f.rand.Uint64()}}
			f.apply(i, func(c *membership.Core) membership.Effects { return c.Receive(f.now, ack) })
		}
		f.run(1)
	}
	is.Equal(f.disagreement(), "")
}
