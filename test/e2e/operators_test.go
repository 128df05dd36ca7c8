package e2e

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/ctl"
	"github.com/dapplespindle/dapplespindle/internal/standin"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

const ledgerKey = "services/ledger"

// operator runs spindlectl against one entry host.
type operator struct {
	fleet *fleet
	name  string
	entry *entryHost
}

// spindlectl runs spindlectl with args and returns the output and the exit code.
func (o *operator) spindlectl(args ...string) (string, ctl.Code) {
	o.fleet.t.Helper()
	cmd := exec.Command(programPath("spindlectl"),
		append([]string{"--server", o.entry.operator, "--operator", o.name, "-o", "json"}, args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		o.fleet.t.Fatal(err)
	}
	return out.String(), ctl.Code(cmd.ProcessState.ExitCode())
}

// mustRun runs spindlectl and fails the test unless it exits with code.
func (o *operator) mustRun(code ctl.Code, args ...string) string {
	o.fleet.t.Helper()
	out, got := o.spindlectl(args...)
	if got != code {
		o.fleet.t.Fatalf("%s: spindlectl %s: exit code %d, want %d: %s", o.name, strings.Join(args, " "), got, code, out)
	}
	return out
}

// version returns the current version, as spindlectl shows it.
func (o *operator) version() string {
	var view struct{ Version string }
	o.decode(o.mustRun(ctl.OK, "service", "describe", "ledger"), &view)
	return view.Version
}

// planned holds the fields of a plan that the tests use.
type planned struct {
	Digest   string
	Document json.RawMessage
	Warnings []string
}

// writeDocument writes a document in which lookups have the given priority, and returns the
// path of the file.
func (o *operator) writeDocument(priority config.Priority) string {
	doc := o.fleet.document()
	doc.Rules[1].Priority = priority
	text, err := json.Marshal(doc)
	if err != nil {
		o.fleet.t.Fatal(err)
	}
	file := filepath.Join(o.fleet.t.TempDir(), o.name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		o.fleet.t.Fatal(err)
	}
	return file
}

// plan plans a document that is based on the given version.
func (o *operator) plan(version string, priority config.Priority) planned {
	var p planned
	o.decode(o.mustRun(ctl.OK, "service", "plan", o.writeDocument(priority), "--expect", version), &p)
	return p
}

func (o *operator) decode(text string, v any) {
	o.fleet.t.Helper()
	if err := json.Unmarshal([]byte(text), v); err != nil {
		o.fleet.t.Fatalf("%v: %s", err, text)
	}
}

func revisionOf(version string) string {
	revision, _, _ := strings.Cut(version, "@")
	return revision
}

func TestConflictingOperatorsAreInformed(t *testing.T) {
	parallel(t)
	f := newFleet(t, 2, entryHosts)
	minh := &operator{f, "minh", f.entries[0]}
	rita := &operator{f, "rita", f.entries[7]}
	base := minh.version()
	if v := rita.version(); v != base {
		t.Fatalf("two hosts describe different versions, %s and %s", base, v)
	}
	first := minh.plan(base, config.PriorityHigh)
	second := rita.plan(base, config.PriorityLow)
	if !strings.Contains(strings.Join(second.Warnings, "\n"), "minh") {
		t.Errorf("the second plan does not warn of the first: %q", second.Warnings)
	}

	// A paused host lags and is named; once it resumes, it is not.
	stopped := f.entries[4]
	stopped.signal(syscall.SIGSTOP)
	f.put("/v1/config/"+ledgerKey, first.Document)
	follow := []string{"follow", ledgerKey, "--digest", first.Digest, "--base", revisionOf(base)}
	out := minh.mustRun(ctl.NotInForce, append(follow, "--wait", "3s")...)
	for line := range strings.Lines(out) {
		if !strings.Contains(line, stopped.peer) {
			t.Errorf("follow does not name %s as lagging: %s", stopped.peer, line)
		}
	}
	stopped.signal(syscall.SIGCONT)
	out = minh.mustRun(ctl.OK, follow...)
	if !strings.Contains(out, "STATE_IN_FORCE") {
		t.Errorf("follow ended before the document was in force: %s", out)
	}
	inForce := minh.version()
	for _, e := range f.entries {
		if v := (&operator{f, "minh", e}).version(); v != inForce || v == base {
			t.Errorf("after follow %s has %s in force, not %s", e.peer, v, inForce)
		}
	}

	// The second operator's plan is based on a version that is no longer current.
	out = rita.mustRun(ctl.Conflict, "service", "plan", rita.writeDocument(config.PriorityLow), "--expect", base)
	if !strings.Contains(out, "minh") {
		t.Errorf("the conflict does not name who planned the current version: %s", out)
	}
	// If it is published nevertheless, it takes effect and the first operator is informed.
	f.put("/v1/config/"+ledgerKey, second.Document)
	rita.mustRun(ctl.OK, "follow", ledgerKey, "--digest", second.Digest, "--base", revisionOf(base))
	out = minh.mustRun(ctl.Conflict, follow...)
	if !strings.Contains(out, "rita") {
		t.Errorf("the first operator is not informed who planned the current version: %s", out)
	}
}

func TestFollowSucceedsThroughPeersWhileThePlatformIsDown(t *testing.T) {
	parallel(t)
	f := newFleet(t, 2, entryHosts)
	minh := &operator{f, "minh", f.entries[0]}
	base := minh.version()
	p := minh.plan(base, config.PriorityHigh)
	late := f.entries[9]
	late.signal(syscall.SIGSTOP)
	f.put("/v1/config/"+ledgerKey, p.Document)
	follow := []string{"follow", ledgerKey, "--digest", p.Digest, "--base", revisionOf(base)}
	minh.mustRun(ctl.NotInForce, append(follow, "--wait", "2s")...)
	f.faults(standin.Faults{Down: true})
	late.signal(syscall.SIGCONT)
	minh.mustRun(ctl.OK, follow...)
	if v := (&operator{f, "rita", late}).version(); v == base {
		t.Errorf("%s still has %s in force", late.peer, v)
	}
}
