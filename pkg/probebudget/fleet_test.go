package probebudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestSpendJoinLaws(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Spend {
		return Spend{
			Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
			Probes:      rapid.Uint64Range(0, 9).Draw(t, "probes"),
			SlotTime:    time.Duration(rapid.IntRange(0, 9).Draw(t, "slot time")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		is.Equal(a.join(a), a)
		is.Equal(a.join(b), b.join(a))
		is.Equal(a.join(b).join(c), a.join(b.join(c)))
	})
}

func TestFleetTotal(t *testing.T) {
	is := is.New(t)
	f := NewFleetSpend()
	f.Merge(SpendKey{"10.0.0.1", "u"}, Spend{Incarnation: 1, Probes: 5, SlotTime: 30})
	f.Merge(SpendKey{"10.0.0.2", "u"}, Spend{Incarnation: 1, Probes: 2, SlotTime: 12})
	f.Merge(SpendKey{"10.0.0.1", "u"}, Spend{Incarnation: 1, Probes: 4, SlotTime: 24}) // late
	is.Equal(f.Total("u"), Spend{Probes: 7, SlotTime: 42})
	f.ForgetHost("10.0.0.1")
	is.Equal(f.Total("u").Probes, uint64(2))
}

func TestAuditRefusesAnEarlyProbe(t *testing.T) {
	is := is.New(t)
	a := NewAudit()
	now := time.Unix(1000, 0)
	is.True(a.Send(now, "u", testPlan) == nil)
	is.Equal(a.Send(now.Add(time.Millisecond), "u", testPlan).Early, testPlan.Window()-time.Millisecond)
	is.True(a.Send(now.Add(testPlan.Window()), "u", testPlan) == nil)
}
