// Command spindled-platform is the entry host daemon for the users' platform.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/dapplespindle/dapplespindle/internal/signals"
	"github.com/dapplespindle/dapplespindle/platform"
)

// version is set at link time.
var version = "dev"

func main() {
	if err := platform.NewCommand(version, signals.Reload).ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "spindled-platform:", err)
		os.Exit(1)
	}
}
