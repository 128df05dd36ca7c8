package lab

import (
	"fmt"
	"io"
	"strings"

	"github.com/dapplespindle/dapplespindle/pkg/balancer/leastoutstanding"
	"github.com/dapplespindle/dapplespindle/pkg/balancer/spindle"
)

// GoalResult compares the spindle policy with the baselines at one latency
// quantile. Latencies are in milliseconds.
type GoalResult struct {
	// Quantile is the quantile in percent.
	Quantile float64
	// Spindle and Hedged are the spindle policy without and with hedging.
	Spindle, Hedged float64
	// LeastOutstanding and LeastOutstandingHedged are the baseline policy without
	// and with hedging.
	LeastOutstanding, LeastOutstandingHedged float64
	// BestBaseline is the lowest latency of the baselines without hedging, and
	// BestBaselineName the name of that policy.
	BestBaseline     float64
	BestBaselineName string
	// CentralQueue is the reference.
	CentralQueue float64
}

// EvaluateGoal extracts one quantile from the rows of one comparison.
func EvaluateGoal(rows []Row, quantile float64) GoalResult {
	g := GoalResult{Quantile: quantile}
	for _, r := range rows {
		v := r.Total.Millis(quantile)
		switch r.Candidate {
		case spindle.Name:
			g.Spindle = v
		case spindle.Name + HedgeSuffix:
			g.Hedged = v
		case leastoutstanding.Name + HedgeSuffix:
			g.LeastOutstandingHedged = v
		case ReferenceName:
			g.CentralQueue = v
		default:
			g.addBaseline(r.Candidate, v)
		}
	}
	return g
}

func (g *GoalResult) addBaseline(name string, v float64) {
	if name == leastoutstanding.Name {
		g.LeastOutstanding = v
	}
	if !strings.HasPrefix(name, spindle.Name) && (g.BestBaselineName == "" || v < g.BestBaseline) {
		g.BestBaseline = v
		g.BestBaselineName = name
	}
}

// GoalHeader is the header of the table to which GoalResult.Print adds rows.
const GoalHeader = "workload\tfault\tquantile\tleast-outst.\tbest baseline\t\tspindle\tratio\tspindle+hedge\tratio\tleast-outst.+hedge\tcentral-queue\t\n"

// Print writes one table row. The ratios divide the latency of least-outstanding
// without hedging by that of the spindle policy.
func (g GoalResult) Print(out io.Writer, w Workload, f Fault) {
	fmt.Fprintf(out, "%s\t%s\tp%g\t%.1f\t%.1f\t%s\t%.1f\t%.2f\t%.1f\t%.2f\t%.1f\t%.1f\t\n",
		w.Name, f.Name, g.Quantile, g.LeastOutstanding, g.BestBaseline, g.BestBaselineName,
		g.Spindle, g.LeastOutstanding/g.Spindle, g.Hedged, g.LeastOutstanding/g.Hedged,
		g.LeastOutstandingHedged, g.CentralQueue)
}
