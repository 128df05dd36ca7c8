// Package signals receives SIGHUP from early in the start of a daemon on: a process without a handler is
// ended by it. It imports nothing of the product, so that it is initialized before the other packages.
// Only main packages import it.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Reload receives SIGHUP. One that arrives while another is waiting adds nothing.
var Reload = notify(syscall.SIGHUP)

func notify(s os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	return c
}
