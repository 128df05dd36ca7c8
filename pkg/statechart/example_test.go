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
  - {name: notify, doc: Notify the client.}
states:
  - {name: free, doc: Nobody holds the lease.}
  - {name: held, doc: A client holds the lease.}
arrows:
  - {from: free, event: grant, to: held, do: [notify]}
  - {from: held, event: expire, to: free, do: [notify]}
`

// The names are resolved once, at start; a step is then one table lookup. The
// caller holds the state.
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

	state, _, err = chart.Step(state, grant) // no transition: the state is unchanged
	fmt.Println(chart.StateName(state), err)
	// Output:
	// held true <nil>
	// held chart lease: state held has no transition for event grant
}
