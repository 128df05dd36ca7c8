// Command spindle-load generates bounded load for loopback addresses and prints
// latencies and outcomes.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/loadgen"
	"github.com/dapplespindle/dapplespindle/internal/standin"
)

func main() {
	root := &cobra.Command{Use: "spindle-load", Short: "Generate bounded load for loopback addresses", SilenceUsage: true}
	root.AddCommand(mixCommand(), compareCommand(), rankingCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

// mixCommand sends the request mix of the two reference deployments through entry
// hosts.
func mixCommand() *cobra.Command {
	var (
		config    loadgen.Config
		entryURLs []string
	)
	cmd := &cobra.Command{
		Use:   "mix",
		Short: "Send the request mix of the two reference deployments through entry hosts",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, base := range entryURLs {
				config.Targets = append(config.Targets, targetsFor(base)...)
			}
			report, err := loadgen.Run(cmd.Context(), config)
			if err != nil {
				return err
			}
			return printReport(config, report)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&entryURLs, "entry", []string{"http://127.0.0.1:8080"}, "base URLs of entry hosts")
	f.Float64Var(&config.Rate, "rate", 500, "arrival rate in requests per second")
	f.DurationVar(&config.Duration, "duration", 5*time.Second, "maximum duration of the run")
	f.IntVar(&config.MaxRequests, "max-requests", 100_000, "maximum number of requests to send")
	f.IntVar(&config.MaxInFlight, "max-in-flight", 512, "maximum number of concurrent requests; arrivals above it are skipped")
	f.Uint64Var(&config.Seed, "seed", 1, "seed of the arrival times and the choice of targets")
	return cmd
}

func targetsFor(base string) []loadgen.Target {
	var targets []loadgen.Target
	for _, d := range standin.Deployments {
		targets = append(targets, loadgen.Target{
			Name: d.Name + " lookup", Method: "GET", URL: base + "/" + d.Name + "/lookup", Weight: d.Endpoints,
		})
		if d.HasActions {
			targets = append(targets, loadgen.Target{
				Name: d.Name + " action", Method: "POST", URL: base + "/" + d.Name + "/action", Weight: 2, Action: true,
			})
		}
	}
	return targets
}

// printReport prints one line per kind of request, combined over all entry hosts.
func printReport(conf loadgen.Config, r *loadgen.Report) error {
	names, byName := mergeByName(conf, r)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "request\tran\tnot-run\tunknown\terrors\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, name := range names {
		s := byName[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n", name,
			s.Outcomes["ran"], s.Outcomes["not-run"], s.Outcomes["unknown"], s.Errors,
			millis(s, 50), millis(s, 99), millis(s, 99.9))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("sent %d in %s, skipped %d\n", r.Sent, r.Elapsed.Round(time.Millisecond), r.Skipped)
	return nil
}

// mergeByName merges the statistics of targets with the same name. It returns the
// names in the order of the mix.
func mergeByName(conf loadgen.Config, r *loadgen.Report) ([]string, map[string]*loadgen.Stats) {
	var names []string
	byName := make(map[string]*loadgen.Stats)
	for i, s := range r.ByTarget {
		name := conf.Targets[i].Name
		if byName[name] == nil {
			names = append(names, name)
			byName[name] = s
			continue
		}
		byName[name].Merge(s)
	}
	return names, byName
}

func millis(s *loadgen.Stats, quantile float64) float64 {
	return float64(s.Latency.ValueAtQuantile(quantile)) / 1000
}
