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

// logLine is one line of an entry host's log, as internal/logging writes it.
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

// maxLogLine bounds one line, in bytes.
const maxLogLine = 1 << 20

func (a *app) logsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "logs",
		Short: "Read log files of entry hosts; no entry host is asked",
	}
	needSubcommand(cmd)
	cmd.AddCommand(a.logsRequestCommand(), a.logsSummaryCommand(), a.logsPlotCommand())
	return cmd
}

func (a *app) logsRequestCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "request ID [FILE...]",
		Short: "Show the way of a request over all hosts whose logs are given; - or none is standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := a.readLogs(args[1:], func(l *logLine) bool { return l.Request == args[0] })
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return withCode(NotFound, errors.Newf("request %s: no line; ordinary requests are written one in %s", args[0], "256"))
			}
			return a.printValue(lines, func(w io.Writer) { writeWay(w, lines) })
		},
	}
}

// writeWay writes one decision a line.
func writeWay(w io.Writer, lines []logLine) {
	row(w, "TIME", "HOST", "DECISION", "SEND", "UPSTREAM", "REASON", "LOAD", "CONFIG", "AFTER")
	for _, l := range lines {
		row(w, l.Time.Format("15:04:05"), l.Host, l.Name, dash(l.Attempt), cmp.Or(l.Upstream, "-"),
			cmp.Or(l.Reason, "-"), l.load(), dash(int(l.Version)),
			(time.Duration(l.Elapsed) * time.Microsecond).String())
	}
}

// load says what was known of the upstream: "2/3 x5 3ms old".
func (l *logLine) load() string {
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

// summaryRow counts one kind of end.
type summaryRow struct {
	// Decision and Reason are those of the lines counted.
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	// Upstream is the one concerned, if any.
	Upstream string `json:"upstream"`
	// Version is that of the configuration which decided.
	Version uint64 `json:"config_version"`
	// Count is the number of lines, and First the request of the first.
	Count int    `json:"count"`
	First string `json:"first_request"`
}

func (a *app) logsSummaryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "summary [FILE...]",
		Short: "Count what failed and why, by upstream and configuration; - or none is standard input",
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

// failures are the decisions that a summary counts.
var failures = map[event.Code]bool{
	event.RequestRefused: true, event.RequestUnknown: true, event.AttemptFailed: true,
	event.RetryDenied: true, event.RequestShed: true, event.StoreLost: true,
	event.StoreItemRejected: true, event.SettingsRejected: true, event.UpstreamUnreachable: true,
}

// summarize counts equal ends, most frequent first.
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

// readLogs returns the lines of all files that keep selects, by time.
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

// readLog reads one file. Lines that are no log lines are passed over: other
// programs may write to the same place.
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
