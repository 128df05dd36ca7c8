// Command spindle-lab compares balancer policies by simulation in virtual time.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "spindle-lab", Short: "Compare balancer policies in virtual time", SilenceUsage: true}
	root.AddCommand(tableCommand(), sweepCommand(), ablateCommand(), plotCommand(), goalsCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
