package atmostonce_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// runsVariable is the environment variable that sets the number of schedules.
const runsVariable = "ATMOSTONCE_RUNS"

const shortRuns = 200

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // before Parse, so that the command line overrides it
	_ = flag.Set("rapid.steps", "200")
	flag.Parse()
	os.Exit(m.Run())
}

func runs(t *testing.T) int {
	text := os.Getenv(runsVariable)
	if text == "" {
		return shortRuns
	}
	n, err := strconv.Atoi(text)
	is.New(t).NoErr(err)
	return n
}

// TestSchedules runs the real ledgers under the schedules that break the naive
// protocols of TestNaiveFails.
func TestSchedules(t *testing.T) {
	schedules := scheduleGenerator(weights)
	count := &counters{}
	for seed := range runs(t) {
		if violation := run(ledgerProtocol{testConfig}, schedules.Example(seed+1), count); violation != "" {
			t.Errorf("seed %d: %s", seed+1, violation)
		}
	}
	t.Logf("%d runs, %d executions; %s", count.runs, count.executed, count)
	is.New(t).True(count.executed > 0)
}

// TestStateMachine checks the real ledgers under steps that rapid chooses and
// shrinks.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(ledgerProtocol{testConfig}, &counters{})
		number := rapid.IntRange(0, 1<<16)
		actions := make(map[string]func(*rapid.T))
		for o, w := range weights {
			for i := range w {
				actions[fmt.Sprintf("%s-%d", opNames[o], i)] = func(t *rapid.T) {
					f.apply(step{op: op(o), a: number.Draw(t, "a"), b: number.Draw(t, "b")})
				}
			}
		}
		actions[""] = func(t *rapid.T) {
			if f.violation != "" {
				t.Fatal(f.violation)
			}
		}
		t.Repeat(actions)
	})
}

// TestUnknownShare logs the share of each outcome under one kind of fault at a time.
func TestUnknownShare(t *testing.T) {
	for _, fault := range []op{numOps, opKill, opPause, opPartition, opDrop, opDuplicate, opHandOver} {
		name := "none"
		if fault < numOps {
			name = opNames[fault]
		}
		schedules := scheduleGenerator(weightsWithFault(fault))
		count := &counters{}
		for seed := range runs(t) {
			f := newFleet(ledgerProtocol{longConfig}, count)
			f.waitForDeadline = true
			is.New(t).Equal(f.run(schedules.Example(seed+1)), "")
		}
		n := count.outcomes
		total := n[outcomeRan] + n[outcomeNotRun] + n[outcomeUnknown]
		t.Logf("fault %-9s %6d answers: ran %4.1f%%, not-run %4.1f%%, unknown %4.1f%%", name, total,
			percent(n[outcomeRan], total), percent(n[outcomeNotRun], total), percent(n[outcomeUnknown], total))
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(of) }
