// Command spindle-standin runs a substitute for the platform or for upstreams. It
// is meant for demos and tests only.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/standin"
)

func main() {
	root := &cobra.Command{Use: "spindle-standin", Short: "Run substitutes for the platform and for upstreams", SilenceUsage: true}
	root.AddCommand(platformCommand(), upstreamCommand(), deploymentsCommand(), publishCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve an in-memory configuration service and host list",
		RunE: func(*cobra.Command, []string) error {
			return http.ListenAndServe(listen, standin.NewPlatform().Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "IP:port to listen on")
	return cmd
}

func upstreamCommand() *cobra.Command {
	var (
		host                      string
		port                      int
		count                     int
		slots                     int
		mean                      time.Duration
		name                      string
		crashPath                 string
		serverSigma, requestSigma float64
	)
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Serve one or more upstreams on consecutive ports",
		RunE: func(*cobra.Command, []string) error {
			errs := make(chan error, count)
			for i := range count {
				u := standin.NewUpstream(fmt.Sprintf("%s-%d", name, i+1), slots, mean)
				u.ServerSigma, u.RequestSigma = serverSigma, requestSigma
				u.CrashPath, u.Crash = crashPath, func() { os.Exit(1) }
				addr := net.JoinHostPort(host, strconv.Itoa(port+i))
				go func() { errs <- http.ListenAndServe(addr, u.Handler()) }()
			}
			return <-errs
		},
	}
	f := cmd.Flags()
	f.StringVar(&host, "host", "127.0.0.1", "IP to listen on")
	f.IntVar(&port, "port", 9001, "first port")
	f.IntVar(&count, "count", 1, "number of upstreams")
	f.IntVar(&slots, "slots", 3, "number of requests processed concurrently by an upstream")
	f.DurationVar(&mean, "mean", 5*time.Millisecond, "mean service time")
	f.Float64Var(&serverSigma, "server-sigma", 0.6, "log-normal shape of the service time factor drawn for each attempt")
	f.Float64Var(&requestSigma, "request-sigma", 0, "log-normal shape of the service time factor determined by the request ID")
	f.StringVar(&name, "name", "upstream", "prefix of the upstream IDs")
	f.StringVar(&crashPath, "ends-under", "", "path of requests that make the process exit (default none)")
	return cmd
}
