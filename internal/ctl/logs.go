package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// logLine is a line of an entry host's log, in the format of internal/logging.
type logLine struct {
	Time     time.Time  `json:"time"`
	Code     event.Code `json:"event"`
	Name     string     `json:"name"`
	Level    string     `json:"level"`
	Host     string     `json:"host"`
	Request  string     `json:"request,omitempty"`
	Service  string     `json:"service,omitempty"`
	Upstream string     `json:"upstream,omitempty"`
	Reason   string     `json:"reason,omitempty"`
	Detail   string     `json:"detail,omitempty"`
	Attempt  int        `json:"attempt,omitempty"`
	Value    int64      `json:"value,omitempty"`
	Elapsed  int64      `json:"elapsed_us,omitempty"`
	Version  uint64     `json:"config_version,omitempty"`
	InFlight *int       `json:"load_in_flight,omitempty"`
	Slots    int        `json:"load_slots,omitempty"`
	Slowdown float64    `json:"load_slowdown,omitempty"`
	Age      int64      `json:"load_age_us,omitempty"`
}

// maxLogLine is the maximum length of a line in bytes.
const maxLogLine = 1 << 20

func (a *app) logsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "logs",
		Short: "Read log files of entry hosts, without calling an entry host",
	}
	needSubcommand(cmd)
	cmd.AddCommand(a.logsRequestCommand(), a.logsSummaryCommand(), a.logsPlotCommand())
	return cmd
}

func (a *app) logsRequestCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "request ID [FILE...]",
		Short: "Show all decisions on a request from the logs of several hosts; - or no file is the standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := a.readLogs(args[1:], func(l *logLine) bool { return l.Request == args[0] })
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return withCode(NotFound, errors.Newf("request %s: no log line found; only one in %s ordinary requests is logged", args[0], "256"))
			}
			return a.printValue(lines, func(w io.Writer) { decisionTable(w, lines) })
		},
	}
}

// decisionTable writes a table with one decision per row.
func decisionTable(w io.Writer, lines []logLine) {
	row(w, "TIME", "HOST", "DECISION", "SEND", "UPSTREAM", "REASON", "LOAD", "CONFIG", "AFTER")
	for _, l := range lines {
		row(w, l.Time.Format("15:04:05"), l.Host, l.Name, dash(l.Attempt), cmp.Or(l.Upstream, "-"),
			cmp.Or(l.Reason, "-"), l.loadText(), dash(int(l.Version)),
			(time.Duration(l.Elapsed) * time.Microsecond).String())
	}
}

// loadText formats the upstream's load report as requests in flight, slots, slowdown and
// age, such as "2/3 x5 3ms old".
func (l *logLine) loadText() string {
	if l.InFlight == nil {
		return "-"
	}
	return strconv.Itoa(*l.InFlight) + "/" + strconv.Itoa(l.Slots) +
		" x" + strconv.FormatFloat(l.Slowdown, 'g', 3, 64) +
		" " + (time.Duration(l.Age) * time.Microsecond).String() + " old"
}

func dash(n int) string {
	if n == 0 {
		return "-"
	}
	return strconv.Itoa(n)
}

// summaryRow counts the lines with the same decision, reason, upstream and configuration.
type summaryRow struct {
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	// Upstream is the upstream concerned, if any.
	Upstream string `json:"upstream"`
	// Version is the version of the configuration that the decision was based on.
	Version uint64 `json:"config_version"`
	// Count is the number of lines, and First is the request ID of the first one.
	Count int    `json:"count"`
	First string `json:"first_request"`
}

func (a *app) logsSummaryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "summary [FILE...]",
		Short: "Count failures by reason, upstream and configuration; - or no file is the standard input",
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := a.readLogs(args, func(l *logLine) bool { return failures[l.Code] })
			if err != nil {
				return err
			}
			rows := summarize(lines)
			return a.printValue(rows, func(w io.Writer) {
				row(w, "COUNT", "DECISION", "REASON", "UPSTREAM", "CONFIG", "FIRST REQUEST")
				for _, r := range rows {
					row(w, r.Count, r.Decision, cmp.Or(r.Reason, "-"), cmp.Or(r.Upstream, "-"), dash(int(r.Version)), cmp.Or(r.First, "-"))
				}
			})
		},
	}
}

// failures is the set of events that a summary counts.
var failures = map[event.Code]bool{
	event.RequestRefused: true, event.RequestUnknown: true, event.AttemptFailed: true,
	event.RetryDenied: true, event.RequestShed: true, event.StoreLost: true,
	event.StoreItemRejected: true, event.SettingsRejected: true, event.UpstreamUnreachable: true,
}

// summarize groups equal failures and counts them, most frequent first.
func summarize(lines []logLine) []summaryRow {
	type key struct {
		decision, reason, upstream string
		version                    uint64
	}
	counts := make(map[key]*summaryRow)
	var rows []*summaryRow
	for _, l := range lines {
		k := key{l.Name, l.Reason, l.Upstream, l.Version}
		r := counts[k]
		if r == nil {
			r = &summaryRow{Decision: l.Name, Reason: l.Reason, Upstream: l.Upstream, Version: l.Version, First: l.Request}
			counts[k] = r
			rows = append(rows, r)
		}
		r.Count++
	}
	slices.SortStableFunc(rows, func(a, b *summaryRow) int { return cmp.Compare(b.Count, a.Count) })
	out := make([]summaryRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, *r)
	}
	return out
}

// readLogs returns the lines of all files for which keep returns true, ordered by time.
func (a *app) readLogs(files []string, keep func(*logLine) bool) ([]logLine, error) {
	if len(files) == 0 {
		files = []string{"-"}
	}
	var out []logLine
	for _, f := range files {
		lines, err := a.readLog(f, keep)
		if err != nil {
			return nil, errors.Wrap(err, f)
		}
		out = append(out, lines...)
	}
	slices.SortStableFunc(out, func(a, b logLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Elapsed, b.Elapsed))
	})
	return out, nil
}

// readLog reads a log file. Lines in another format are skipped, because other programs may
// write to the same file.
func (a *app) readLog(path string, keep func(*logLine) bool) ([]logLine, error) {
	in := a.env.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	var out []logLine
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(s.Bytes()[start:], &l) == nil && keep(&l) {
			out = append(out, l)
		}
	}
	return out, s.Err()
}
