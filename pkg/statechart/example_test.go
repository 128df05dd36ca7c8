package statechart_test

import (
	"fmt"

	"github.com/dapplespindle/dapplespindle/pkg/statechart"
)

const leaseChart = `# A lease on a resource.
name: lease
initial: free
events:
  - {name: grant, doc: A client asked for the lease.}
  - {name: expire, doc: The lease was not renewed in time.}
effects:
  - {name: notify, doc: Tell the client.}
states:
  - {name: free, doc: Nobody holds the lease.}
  - {name: held, doc: A client holds the lease.}
arrows:
  - {from: free, event: grant, to: held, do: [notify]}
  - {from: held, event: expire, to: free, do: [notify]}
`

// The names are looked up once, at start; a step is then one table look-up.
// The state belongs to the caller.
func Example() {
	chart, err := statechart.Parse("lease.yaml", []byte(leaseChart))
	if err != nil {
		fmt.Println(err)
		return
	}
	grant, notify := chart.MustEvent("grant"), chart.MustEffect("notify")

	state := chart.Initial()
	state, effects, err := chart.Step(state, grant)
	fmt.Println(chart.StateName(state), effects.Has(notify), err)

	state, _, err = chart.Step(state, grant) // no arrow: the state stays
	fmt.Println(chart.StateName(state), err)
	// Output:
	// held true <nil>
	// held chart lease: state held has no arrow for event grant
}
