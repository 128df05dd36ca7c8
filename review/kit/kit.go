// Package kit holds what the cases of the review share: stand-ins of the users' store, of their
// endpoints and of their clients, a link that delays, and the processes of the entry hosts.
//
// The stand-ins speak the users' published protocol and do nothing that it does not allow. They
// run in the process of a case; the entry hosts are processes of their own.
package kit

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	// Held means that the rule was kept.
	Held = 0
	// Broken means that the rule was broken.
	Broken = 1
	// CouldNotRun means that the case could not be played.
	CouldNotRun = 2
)

// maxRun ends a case that hangs.
const maxRun = 115 * time.Second

// Trouble reports whether the disruption is to be played: TROUBLE=0 leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the log of a case: what was sent, answered and run, with the seconds since its start.
type Record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: f}, nil
}

// At returns the time of a moment on the record.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.began).Seconds(), line)
}

// Say writes a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Run plays a case and exits with its code. Cleanup is called before, whatever ends the case.
func Run(play func() (int, error), cleanup func()) {
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		code, err := play()
		done <- outcome{code, err}
	}()
	out := outcome{code: CouldNotRun}
	select {
	case out = <-done:
	case <-signals:
		out.err = fmt.Errorf("ended by a signal")
	case <-time.After(maxRun):
		out.err = fmt.Errorf("not over after %s", maxRun)
	}
	cleanup()
	if out.err != nil {
		fmt.Println("could not run:", out.err)
		out.code = CouldNotRun
	}
	os.Exit(out.code)
}
