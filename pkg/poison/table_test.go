package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// start is when the tests begin; times in them count from it.
var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

const ms = time.Millisecond

func asked(target, caller string) Fingerprint {
	return FingerprintOf("GET", "shop", target, nil, caller)
}

// end is one under a request, which ran for 100 ms.
func end(f Fingerprint, upstream uint64, ended time.Duration) Crash {
	return Crash{Request: f, Upstream: upstream, SentAt: at(ended - 100*ms), EndedAt: at(ended)}
}

// quick is one under a request that ran for 30 ms.
func quick(f Fingerprint, upstream uint64, ended time.Duration) Crash {
	return Crash{Request: f, Upstream: upstream, SentAt: at(ended - 30*ms), EndedAt: at(ended)}
}

func seenBy(host uint64, d Crash) Crash {
	d.Host = host
	return d
}

func (t *Table) refuses(f Fingerprint, when time.Duration) bool {
	return !t.RefusedUntil(at(when), f).IsZero()
}

// TestRefused: which ends prove that a request is the cause, and which don't.
func TestRefused(t *testing.T) {
	deadly, other, third := asked("/lots/1", "a"), asked("/lots/1", "b"), asked("/lots/1", "c")
	for name, test := range map[string]struct {
		deaths          []Crash
		refused, others bool // of this caller, of others with the same content
	}{
		"nothing ended": {},
		"two ended":     {deaths: []Crash{end(deadly, 1, 0), end(deadly, 2, 200*ms)}},
		"three, one after another": {
			deaths:  []Crash{end(deadly, 1, 0), end(deadly, 2, 200*ms), end(deadly, 3, 400*ms)},
			refused: true,
		},
		"three, reported in another order": {
			deaths:  []Crash{end(deadly, 3, 400*ms), end(deadly, 1, 0), end(deadly, 2, 200*ms)},
			refused: true,
		},
		"two together, and one that was sent it afterwards": {
			deaths:  []Crash{end(deadly, 1, 0), end(deadly, 2, 20*ms), end(deadly, 3, 200*ms)},
			refused: true,
		},
		"a failure domain goes, with many of one caller's": {
			deaths: []Crash{end(deadly, 1, 0), end(deadly, 2, 5*ms), end(deadly, 3, 9*ms), end(deadly, 4, 20*ms), end(deadly, 5, 30*ms)},
		},
		"the same, and one sent again meets the next": {
			deaths: []Crash{end(deadly, 1, 0), quick(deadly, 2, 33*ms), quick(deadly, 3, 36*ms)},
		},
		"the same, seen by hosts of which one is late": {
			deaths: []Crash{end(deadly, 1, 0), end(deadly, 2, 5*ms), seenBy(2, end(deadly, 3, 140*ms))},
		},
		"three that end within 30 ms each, at one host": {
			deaths:  []Crash{quick(deadly, 1, 0), quick(deadly, 2, 31*ms), quick(deadly, 3, 62*ms)},
			refused: true,
		},
		"one end, reported thrice": {
			deaths: []Crash{end(deadly, 1, 0), end(deadly, 1, 300*ms), end(deadly, 1, 600*ms)},
		},
		"one upstream that starts again under its id": {
			deaths:  []Crash{end(deadly, 1, 0), end(deadly, 1, 3*time.Second), end(deadly, 1, 6*time.Second)},
			refused: true,
		},
		"three under the requests of several callers": {
			deaths: []Crash{end(deadly, 1, 0), end(other, 2, 200*ms), end(deadly, 3, 400*ms)},
		},
		"five, of two callers": {
			deaths:  []Crash{end(deadly, 1, 0), end(other, 2, 150*ms), end(deadly, 3, 300*ms), end(deadly, 4, 450*ms), end(other, 5, 600*ms)},
			refused: true,
		},
		"five within a moment, of three callers": {
			deaths: []Crash{end(deadly, 1, 0), end(other, 2, 110*ms), end(third, 3, 220*ms), end(deadly, 4, 330*ms), end(other, 5, 440*ms)},
		},
		"five, of three callers": {
			deaths: []Crash{end(deadly, 1, 0), end(other, 2, 150*ms), end(third, 3, 300*ms), end(deadly, 4, 450*ms), end(other, 5, 600*ms)},
			others: true, refused: true,
		},
		"a failure domain goes, with many callers'": {
			deaths: []Crash{end(deadly, 1, 0), end(other, 2, 5*ms), end(asked("/lots/1", "c"), 3, 9*ms)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			for _, d := range test.deaths {
				table.RecordCrash(at(time.Second), d)
			}
			is.Equal(table.refuses(deadly, time.Second), test.refused)
			is.Equal(table.refuses(asked("/lots/1", "z"), time.Second), test.others)
			is.True(!table.refuses(asked("/lots/2", "a"), time.Second))
			is.Equal(table.HasSuspect("shop", "/lots/1"), len(test.deaths) > 0)
			is.True(!table.HasSuspect("shop", "/lots/2"))
		})
	}
}

// TestNews: what is told of each end.
func TestNews(t *testing.T) {
	is := is.New(t)
	table, f := NewTable(), asked("/lots/1", "a")
	first := table.RecordCrash(at(0), end(f, 1, 0))
	is.Equal(first, RecordResult{New: true, Crashes: 1})
	is.True(!table.RecordCrash(at(0), end(f, 1, 0)).New)
	table.RecordCrash(at(200*ms), end(f, 2, 200*ms))
	third := table.RecordCrash(at(400*ms), end(f, 3, 400*ms))
	is.Equal(third, RecordResult{New: true, NewlyRefused: true, Crashes: 3, RefusedUntil: at(400*ms + quarantine)})
	fourth := table.RecordCrash(at(500*ms), end(f, 4, 500*ms))
	is.True(!fourth.NewlyRefused) // it was refused before
}

// TestAnswerClears: a request that an upstream answered was merely there.
func TestAnswerClears(t *testing.T) {
	is := is.New(t)
	table, mine, other := NewTable(), asked("/lots/1", "a"), asked("/lots/1", "b")
	table.RecordCrash(at(0), end(mine, 1, 0))
	table.RecordCrash(at(200*ms), end(mine, 2, 200*ms))
	tell, lifted := table.RecordAnswer(at(300*ms), mine)
	is.True(tell && !lifted)
	is.True(!table.HasSuspect("shop", "/lots/1"))
	table.RecordCrash(at(400*ms), end(mine, 3, 400*ms))
	is.True(!table.refuses(mine, 400*ms))

	// Others' answers clear others, and not the caller under whose requests it ended.
	third, fourth := asked("/lots/1", "c"), asked("/lots/1", "z")
	table.RecordCrash(at(600*ms), end(mine, 4, 600*ms))
	table.RecordCrash(at(700*ms), end(other, 5, 700*ms))
	table.RecordCrash(at(800*ms), end(third, 6, 800*ms))
	table.RecordCrash(at(900*ms), end(mine, 7, 900*ms))
	is.True(table.refuses(fourth, 900*ms))
	tell, lifted = table.RecordAnswer(at(time.Second), fourth)
	is.True(tell && lifted)
	is.True(!table.refuses(fourth, time.Second))
	tell, _ = table.RecordAnswer(at(1100*ms), fourth)
	is.True(!tell) // said a moment ago
	is.True(table.refuses(mine, 1100*ms))
	is.True(!table.refuses(other, 1100*ms))
}

// TestQuarantineEnds: it lasts longer each time, and one end renews it.
func TestQuarantineEnds(t *testing.T) {
	is := is.New(t)
	table, f := NewTable(), asked("/lots/1", "a")
	for i := range uint64(3) {
		table.RecordCrash(at(0), end(f, i, time.Duration(i)*200*ms))
	}
	now := 400 * ms
	ends := 3
	for now < 24*time.Hour {
		until := table.RefusedUntil(at(now), f)
		is.True(!until.IsZero())
		now = until.Sub(start)
		is.True(!table.refuses(f, now))
		table.RecordCrash(at(now+100*ms), end(f, 9, now+100*ms))
		now += 100 * ms
		ends++
	}
	is.Equal(ends, 3+5) // four within a day, and one after it
}

// TestRecent: what hosts that missed it hear of.
func TestRecent(t *testing.T) {
	is := is.New(t)
	table, deadly, there := NewTable(), asked("/lots/1", "a"), asked("/lots/2", "a")
	table.RecordCrash(at(0), end(there, 1, 0))
	for i := range uint64(3) {
		table.RecordCrash(at(0), end(deadly, i, time.Duration(i)*200*ms))
	}
	is.Equal(len(table.RecentCrashes(at(time.Second), 5*time.Second)), 4)
	is.Equal(len(table.RecentCrashes(at(time.Minute), 5*time.Second)), 3)
	is.Equal(len(table.RecentCrashes(at(time.Hour), 5*time.Second)), 0)
	other := NewTable()
	for _, d := range table.RecentCrashes(at(time.Minute), 5*time.Second) {
		other.RecordCrash(at(time.Minute), d)
	}
	is.True(other.refuses(deadly, time.Minute))
}

// TestBounds: however many requests see an end, memory is bounded, and the newest stay.
func TestBounds(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 3 * maxSuspects {
		f := asked("/lots/"+string(rune(i)), "a")
		for u := range uint64(1 + random.IntN(2*maxDeaths)) {
			table.RecordCrash(at(time.Duration(i)*ms), end(f, u, time.Duration(i)*ms))
		}
	}
	is.Equal(len(table.suspects), maxSuspects)
	total := 0
	for _, s := range table.suspects {
		is.True(len(s.deaths) <= maxDeaths)
	}
	for _, n := range table.targets {
		total += n
	}
	is.Equal(total, maxSuspects)
	is.True(table.HasSuspect("shop", "/lots/"+string(rune(3*maxSuspects-1))))
	table.RecordCrash(at(48*time.Hour), end(asked("/lots/x", "a"), 1, 48*time.Hour))
	is.Equal(len(table.suspects), 1) // what is long ago was forgotten
}

// TestBystanders draws seconds in which one request ends each upstream that runs it,
// beside forty callers' look-ups of one page. Two of these are cut off at each end, three
// of four are answered when they are asked again at once, and ordinary ones go on at
// twenty a second. The one is refused, and of the others less than one in a thousand.
func TestBystanders(t *testing.T) {
	is := is.New(t)
	const runs, callers, perEnd, between = 2000, 40, 2, 3 // others at each end, and between two
	refused, found := 0, 0
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 7))
		table, deadly := NewTable(), asked("/deadly", "x")
		now := time.Duration(0)
		for u := uint64(0); u < 20 && !table.refuses(deadly, now); u++ {
			for range between {
				now += 50 * ms
				table.RecordAnswer(at(now), asked("/lots", string(rune('a'+random.IntN(callers)))))
			}
			table.RecordCrash(at(now), end(deadly, u, now))
			for range perEnd {
				f := asked("/lots", string(rune('a'+random.IntN(callers))))
				table.RecordCrash(at(now), end(f, u, now))
				if random.IntN(4) > 0 { // asked again, and answered elsewhere
					table.RecordAnswer(at(now+10*ms), f)
				}
			}
		}
		if table.refuses(deadly, now) {
			found++
		}
		for c := range callers {
			if table.refuses(asked("/lots", string(rune('a'+c))), now) {
				refused++
			}
		}
	}
	is.Equal(found, runs)
	t.Logf("%d of %d callers' requests refused that were merely there", refused, runs*callers)
	is.True(refused <= runs*callers/1000)
}

func BenchmarkSuspects(b *testing.B) {
	b.Run("none", func(b *testing.B) {
		table := NewTable()
		for b.Loop() {
			table.HasSuspect("shop.example", "/lots/17")
		}
	})
	b.Run("others", func(b *testing.B) {
		table := NewTable()
		table.RecordCrash(start, end(asked("/lots/1", "a"), 1, 0))
		for b.Loop() {
			table.HasSuspect("shop.example", "/lots/17")
		}
	})
	b.Run("refused", func(b *testing.B) {
		table, f := NewTable(), asked("/lots/1", "a")
		for i := range uint64(3) {
			table.RecordCrash(at(0), end(f, i, time.Duration(i)*200*ms))
		}
		for b.Loop() {
			table.RefusedUntil(start, asked("/lots/1", "a"))
		}
	})
}
