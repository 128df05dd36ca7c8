package lab

import (
	"fmt"
	"io"
	"strings"

	"github.com/dapplespindle/dapplespindle/pkg/balancer/leastoutstanding"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
)

// Goal compares the product's own policy with the baselines at one quantile,
// in milliseconds.
type Goal struct {
	// Quantile is in percent.
	Quantile float64
	// Spindle and Hedged are the policy without and with hedging.
	Spindle, Hedged float64
	// LeastOutstanding and its hedged form are the baseline of the goal.
	LeastOutstanding, LeastOutstandingHedged float64
	// Best is the best baseline without hedging, and BestName its name.
	Best     float64
	BestName string
	// Reference is the central queue.
	Reference float64
}

// Judge takes the figures of one quantile from the rows of one comparison.
func Judge(rows []Row, quantile float64) Goal {
	g := Goal{Quantile: quantile}
	for _, r := range rows {
		v := r.Total.Millis(quantile)
		switch r.Contender {
		case spindle.Name:
			g.Spindle = v
		case spindle.Name + HedgeSuffix:
			g.Hedged = v
		case leastoutstanding.Name + HedgeSuffix:
			g.LeastOutstandingHedged = v
		case ReferenceName:
			g.Reference = v
		default:
			g.baseline(r.Contender, v)
		}
	}
	return g
}

func (g *Goal) baseline(name string, v float64) {
	if name == leastoutstanding.Name {
		g.LeastOutstanding = v
	}
	if !strings.HasPrefix(name, spindle.Name) && (g.BestName == "" || v < g.Best) {
		g.Best = v
		g.BestName = name
	}
}

// GoalHeader is the head of the table that Goal.Print continues.
const GoalHeader = "workload\tfault\tquantile\tleast-outst.\tbest baseline\t\tspindle\tratio\tspindle+hedge\tratio\tleast-outst.+hedge\tcentral-queue\t\n"

// Print writes one row. The ratios are least outstanding without hedging over
// the policy.
func (g Goal) Print(out io.Writer, w Workload, f Fault) {
	fmt.Fprintf(out, "%s\t%s\tp%g\t%.1f\t%.1f\t%s\t%.1f\t%.2f\t%.1f\t%.2f\t%.1f\t%.1f\t\n",
		w.Name, f.Name, g.Quantile, g.LeastOutstanding, g.Best, g.BestName,
		g.Spindle, g.LeastOutstanding/g.Spindle, g.Hedged, g.LeastOutstanding/g.Hedged,
		g.LeastOutstandingHedged, g.Reference)
}
