// Command fleet runs the cases of the second review: it starts entry hosts as processes of their own, with
// stand-ins of the store, of endpoints and of clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxTime bounds a case. The processes that it started end with it.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: fleet CASE RECORD")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "can't run: no end after", maxTime)
		os.Exit(2)
	})
	os.Exit(run(os.Args[2], os.Getenv("TROUBLE") != "0"))
}

var cases = map[string]func(record string, trouble bool) int{
	"route-name":   routeName,
	"route-prefix": routePrefix,
	"quota":        quota,
	"tenant":       tenant,
	"tenant-name":  tenantName,
}
