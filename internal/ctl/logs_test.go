package ctl

import (
	"bytes"
	"encoding/json"
	"image/color"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	firstHostLog = `{"level":"debug","time":"2026-12-02T10:00:01Z","event":3001,"name":"request-received","host":"10.0.0.1","request":"r1","elapsed_us":10,"config_version":7}
{"level":"debug","time":"2026-12-02T10:00:01Z","event":3002,"name":"upstream-chosen","host":"10.0.0.1","request":"r1","upstream":"i-1","reason":"fresh-report","attempt":1,"elapsed_us":500,"config_version":7,"load_in_flight":0,"load_slots":3,"load_slowdown":1,"load_age_us":900}
no log line
{"level":"info","time":"2026-12-02T10:00:01Z","event":3005,"name":"attempt-failed","host":"10.0.0.1","request":"r1","upstream":"i-1","reason":"upstream-broken","attempt":1,"elapsed_us":9000,"config_version":7}
`
	secondHostLog = `{"level":"info","time":"2026-12-02T10:00:02Z","event":3005,"name":"attempt-failed","host":"10.0.0.2","request":"r2","upstream":"i-1","reason":"upstream-broken","attempt":1,"elapsed_us":9000,"config_version":7}
{"level":"info","time":"2026-12-02T10:00:00Z","event":3004,"name":"request-refused","host":"10.0.0.2","request":"r1","reason":"overloaded","elapsed_us":2000,"config_version":7}
`
)

func runLogs(t *testing.T, args ...string) (Code, string) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "1.log"), filepath.Join(dir, "2.log")
	for path, text := range map[string]string{first: firstHostLog, second: secondHostLog} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	code := Run(t.Context(), Environment{Args: append(args, first, second), Stdout: &out, Stderr: &out, Stdin: strings.NewReader("")})
	return code, out.String()
}

func TestLogsRequestOverHosts(t *testing.T) {
	is := is.New(t)
	code, out := runLogs(t, "logs", "request", "r1")
	is.Equal(code, OK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 5)
	is.True(strings.Contains(lines[1], "10.0.0.2")) // earlier, on another host
	is.True(strings.Contains(lines[3], "0/3 x1 900µs old"))
	is.True(strings.Contains(lines[4], "upstream-broken"))
	code, _ = runLogs(t, "logs", "request", "r9")
	is.Equal(code, NotFound)
}

func TestLogsSummary(t *testing.T) {
	is := is.New(t)
	code, out := runLogs(t, "-o", "json", "logs", "summary")
	is.Equal(code, OK)
	var rows []summaryRow
	is.NoErr(json.Unmarshal([]byte(out), &rows))
	is.Equal(rows, []summaryRow{
		{Decision: "attempt-failed", Reason: "upstream-broken", Upstream: "i-1", Version: 7, Count: 2, First: "r1"},
		{Decision: "request-refused", Reason: "overloaded", Version: 7, Count: 1, First: "r1"},
	})
}

// TestLogsPlot checks that refusals, a response and the states of an upstream are drawn.
func TestLogsPlot(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	log, out := filepath.Join(dir, "1.log"), filepath.Join(dir, "out.png")
	is.NoErr(os.WriteFile(log, []byte(`{"time":"2026-12-02T10:00:00.100Z","event":2027,"host":"10.0.0.1","upstream":"i-1","reason":"ready"}
{"time":"2026-12-02T10:00:00.900Z","event":3003,"host":"10.0.0.1","request":"r1","elapsed_us":90000}
{"time":"2026-12-02T10:00:02.500Z","event":3004,"host":"10.0.0.1","request":"r2"}
{"time":"2026-12-02T10:00:03.000Z","event":2027,"host":"10.0.0.1","upstream":"i-1","reason":"draining"}
`), 0o600))
	var text bytes.Buffer
	run := func(args ...string) Code {
		return Run(t.Context(), Environment{Args: args, Stdout: &text, Stderr: &text, Stdin: strings.NewReader("")})
	}
	is.Equal(run("logs", "plot", "--out", out, log), OK)
	f, err := os.Open(out)
	is.NoErr(err)
	defer func() { is.NoErr(f.Close()) }()
	picture, err := png.Decode(f)
	is.NoErr(err)
	colours := make(map[color.Color]bool)
	for y := range picture.Bounds().Dy() {
		for x := range picture.Bounds().Dx() {
			colours[picture.At(x, y)] = true
		}
	}
	for _, want := range []color.Color{plotGood, plotSlow} {
		is.True(colours[color.NRGBAModel.Convert(want)] || colours[want]) // nothing was drawn in this colour
	}
	is.Equal(run("logs", "plot", "--out", out, "-"), NotFound) // no lines
	is.True(run("logs", "plot", log) != OK)                    // no --out
}
