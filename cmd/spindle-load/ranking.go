package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/loadgen"
)

// rankingCommand compares balancer policies using real processes.
func rankingCommand() *cobra.Command {
	var conf loadgen.RankingConfig
	cmd := &cobra.Command{
		Use:   "ranking",
		Short: "Compare services that differ in their balancer policy, steady and with slowdowns",
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := loadgen.Rank(cmd.Context(), conf)
			if err != nil {
				return err
			}
			return printRanking(rows)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&conf.EntryURLs, "entry", nil, "base URLs of entry hosts")
	f.StringSliceVar(&conf.AdminURLs, "admin", nil, "base URLs of the entry hosts' metrics")
	f.StringSliceVar(&conf.UpstreamURLs, "upstream", nil, "base URLs of the stand-in upstreams")
	f.StringSliceVar(&conf.Services, "service", nil, "services to compare")
	f.IntVar(&conf.Rounds, "rounds", 3, "measurements of each service in each condition")
	f.DurationVar(&conf.WarmUp, "warm-up", 500*time.Millisecond, "initial time of a measurement that is not counted")
	f.DurationVar(&conf.Duration, "duration", 3*time.Second, "duration of a measurement after the warm-up")
	f.Float64Var(&conf.Rate, "rate", 1000, "arrival rate in requests per second")
	f.IntVar(&conf.MaxInFlight, "max-in-flight", 1024, "maximum number of concurrent requests; arrivals above it are skipped")
	f.Uint64Var(&conf.Seed, "seed", 1, "seed of the arrival times and of the choice of slow upstreams")
	return cmd
}

func printRanking(rows []loadgen.RankingResult) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "condition\tservice\tcounted\tp50 ms\tp99 ms\tby round\tp99.9 ms\tsends\tprobes\tbad %\tskipped\t")
	for _, r := range rows {
		condition := "steady"
		if r.Slowdowns {
			condition = "slow-down"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f\t%s\t%.1f\t%.3f\t%d\t%.2f\t%d\t\n", condition, r.Service,
			r.Latency.TotalCount(), quantile(r.Latency, 50), quantile(r.Latency, 99), p99ByRound(r), quantile(r.Latency, 99.9),
			float64(r.Attempts)/float64(max(r.Sent, 1)), r.Probes, 100*float64(r.Failed)/float64(max(r.Sent, 1)), r.Skipped)
	}
	return w.Flush()
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// p99ByRound lists the p99 of each round.
func p99ByRound(r loadgen.RankingResult) string {
	s := ""
	for _, h := range r.Rounds {
		s += fmt.Sprintf(" %.0f", quantile(h, 99))
	}
	return s
}
