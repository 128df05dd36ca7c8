package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"sync"
	"testing"
)

// Range of the codes of violated invariants; docs/EVENTS.md lists them.
const firstInvariant, lastInvariant = 10000, 10999

// hostLogs holds the log files of all entry host processes of a fleet, including killed ones.
type hostLogs struct {
	mu    sync.Mutex
	files []string
}

func (l *hostLogs) add(file string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.files = append(l.files, file)
}

// check fails the test for each violated invariant and each panic.
func (l *hostLogs) check(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	errors := make(map[string]int)
	for _, file := range l.files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Error(err)
			continue
		}
		checkLog(t, text, errors)
	}
	t.Logf("%d entry host processes; events of level error: %v", len(l.files), errors)
}

// checkLog checks one log and counts its events of level error in errors, by name.
func checkLog(t *testing.T, text []byte, errors map[string]int) {
	t.Helper()
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.HasPrefix(line, []byte("panic:")) || bytes.HasPrefix(line, []byte("fatal error:")) {
			t.Errorf("%s", line)
		}
		var e struct {
			Event int
			Name  string
			Level string
		}
		if json.Unmarshal(line, &e) != nil {
			continue
		}
		if e.Event >= firstInvariant && e.Event <= lastInvariant {
			t.Errorf("violated invariant: %s", line)
		}
		if e.Level == "error" {
			errors[e.Name]++
		}
	}
}
