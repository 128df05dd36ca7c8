package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"gopkg.in/yaml.v3"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/internal/events"
	"github.com/dapplespindle/dapplespindle/internal/operator"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

const document = `{"name": "ledger", "match": {"path_prefix": "/ledger/"},
  "groups": [{"name": "main", "upstreams": [
    {"id": "ledger-1", "address": "10.0.0.1:80", "failure_domain": "caruaru"},
    {"id": "ledger-2", "address": "10.0.0.2:80", "failure_domain": "petrolina"}]}],
  "rules": [{"name": "sale", "methods": ["POST"], "group": "main", "repeat": "non-repeatable"}]}`

// idleHost is a HostView without requests in flight.
type idleHost struct{}

func (idleHost) InFlight() int64 { return 0 }

// fleetWithLaggingHost is a fleet of the called host and one that never catches up.
type fleetWithLaggingHost struct{ operator.SingleHost }

func (f fleetWithLaggingHost) Members() []operator.Member {
	return append(f.SingleHost.Members(), operator.Member{Host: "10.1.0.2", State: operator.Alive, Revision: 1})
}

// fixture is an entry host's operator service whose configuration has one service.
type fixture struct {
	address   string
	published operator.Published
	ring      *events.Ring
	files     string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	is := is.New(t)
	f := &fixture{ring: events.NewRing(events.Config{}), files: t.TempDir()}
	f.publish(t, 7, document)
	single := operator.SingleHost{Member: operator.Member{Host: "10.1.0.1", State: operator.Alive}, Source: &f.published}
	s := operator.New(operator.Config{
		Host: "10.1.0.1", Build: "test", Source: &f.published, Fleet: fleetWithLaggingHost{single}, Local: idleHost{},
		Upstreams: operator.ConfiguredUpstreams{Source: &f.published}, Events: f.ring, Peers: operator.NoPeers{},
		PollInterval: time.Millisecond,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := grpc.NewServer()
	s.Register(server)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(server.Stop)
	f.address = ln.Addr().String()
	return f
}

func (f *fixture) publish(t *testing.T, revision uint64, text string) {
	t.Helper()
	s, err := config.Parse([]byte(text))
	is.New(t).NoErr(err)
	f.published.Store(&plan.State{Revision: revision, Documents: []plan.Document{{Service: s, Revision: revision}}})
}

func (f *fixture) file(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(f.files, name)
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run executes the command in this process.
func (f *fixture) run(args ...string) (code Code, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Run(context.Background(), Environment{
		Args:    args,
		Environ: []string{settingsPrefix + "SERVER=" + f.address, "HOME=/"},
		Stdin:   strings.NewReader(document),
		Stdout:  &out,
		Stderr:  &errs,
		Version: "test",
	})
	return code, out.String(), errs.String()
}

const settingsPrefix = "DAPPLESPINDLE_"

func TestExitCodes(t *testing.T) {
	f := newFixture(t)
	good := f.file(t, "good.json", document)
	bad := f.file(t, "bad.json", strings.Replace(document, "non-repeatable", "sometimes", 1))
	group := f.file(t, "group.json", `{"name": "spare", "upstreams": []}`)
	rule := f.file(t, "rule.json", `{"name": "look", "methods": ["GET"], "group": "main", "repeat": "repeatable"}`)
	members := f.file(t, "members.json", `[]`)
	tests := []struct {
		args string
		want Code
		text string // in the output or the error
	}{
		{"service list", OK, "ledger"},
		{"service describe ledger", OK, `"path_prefix": "/ledger/"`},
		{"service plan " + good, OK, "nothing changes"},
		{"service plan -", OK, "nothing changes"},
		{"service delete ledger", OK, "delete the key services/ledger"},
		{"group plan ledger " + group, OK, "group spare is empty"},
		{"rule plan ledger " + rule + " --before sale", OK, "rule look is new"},
		{"upstream list", OK, "ledger-2"},
		{"upstream set ledger main " + members, OK, "group main is empty"},
		{"upstream drain ledger ledger-1", OK, "upstream ledger-1 takes no new requests"},
		{"status", OK, "can't be asked: this entry host has no connection"},
		{"check-config " + good, OK, "service ledger is valid"},
		{"version", OK, "test"},
		{"completion bash", OK, "bash completion"},
		{"explain nothing", NotFound, "no event of request"},
		{"", Usage, "needs a subcommand"},
		{"service", Usage, "needs a subcommand"},
		{"service lst", Usage, "lst"},
		{"nonsense", Usage, "nonsense"},
		{"status --nonsense", Usage, "nonsense"},
		{"status -o xml", Usage, "not table, json or yaml"},
		{"status --tls-cert x", Usage, "set all three or none"},
		{"service describe", Usage, "accepts 1 arg"},
		{"follow services/ledger", Usage, "--digest"},
		{"watch --code 9-1", Usage, "range"},
		{"upstream drain ledger ledger-1 --expect 7", Usage, "REVISION@DIGEST"},
		{"check-config " + bad, InvalidDocument, "rules[0].repeat"},
		{"service plan " + bad, InvalidDocument, "rules[0].repeat"},
		{"group delete ledger main", InvalidDocument, "names no group"},
		{"upstream drain ledger ledger-1 --expect 6@0x1", Conflict, "revision 7 is in force"},
		{"follow ledger --digest 0x1 --base 6", Conflict, "superseded"},
		{"follow ledger --revision 7 --wait 50ms", NotInForce, "10.1.0.2 (at revision 1, before 7)"},
		{"service list --server 127.0.0.1:1", Unreachable, "refused"},
		{"rule delete ledger missing", NotFound, `rule "missing"`},
		{"service plan --create " + good, AlreadyExists, "already exists"},
	}
	for _, tc := range tests {
		t.Run(tc.args, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := f.run(strings.Fields(tc.args)...)
			is.Equal(code, tc.want)
			is.True(strings.Contains(stdout+stderr, tc.text)) // the output lacks the text
		})
	}
}

func TestUnknownVariableIsAnError(t *testing.T) {
	is := is.New(t)
	var errs bytes.Buffer
	code := Run(context.Background(), Environment{
		Args: []string{"version"}, Environ: []string{"DAPPLESPINDLE_SEVER=x"}, Stdout: &bytes.Buffer{}, Stderr: &errs,
	})
	is.Equal(code, Usage)
	is.True(strings.Contains(errs.String(), "DAPPLESPINDLE_SEVER"))
}

func TestOutFileIsTheExactDocument(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	out := filepath.Join(f.files, "out.json")
	code, stdout, _ := f.run("upstream", "drain", "ledger", "ledger-1", "--out", out, "-o", "json")
	is.Equal(code, OK)
	var view plannedChange
	is.NoErr(json.Unmarshal([]byte(stdout), &view))
	written, err := os.ReadFile(out)
	is.NoErr(err)
	s, err := config.Parse(written)
	is.NoErr(err)
	is.Equal(digestText(plan.Digest(s)), view.Digest)
	is.Equal(s.Groups[0].Upstreams[0].State, config.Draining)
	is.True(strings.HasPrefix(view.Base, "7@0x"))
}

func TestYAMLAndJSONOutputAreEqual(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	_, asJSON, _ := f.run("service", "describe", "ledger", "-o", "json")
	_, asYAML, _ := f.run("service", "describe", "ledger", "-o", "yaml")
	var a, b any
	is.NoErr(json.Unmarshal([]byte(asJSON), &a))
	is.NoErr(yaml.Unmarshal([]byte(asYAML), &b))
	textA, err := json.Marshal(a)
	is.NoErr(err)
	textB, err := json.Marshal(b)
	is.NoErr(err)
	is.Equal(string(textA), string(textB))
	is.True(!strings.Contains(asYAML, `{"`)) // block style throughout
}

func TestWatchPrintsOneLineForEachDecision(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	at := time.Date(2024, 5, 6, 7, 8, 9, 123e6, time.UTC)
	f.ring.Emit(event.Event{
		Code: event.UpstreamChosen, At: at, EntryHost: "10.1.0.1", Request: "r-1", Service: "ledger", Rule: "sale",
		Upstream: "ledger-1", Reason: "least-outstanding", Attempt: 2, Value: 3, Elapsed: 1500 * time.Microsecond,
	})
	f.ring.Emit(event.Event{Code: event.RequestRefused, At: at, Service: "catalogue"})
	code, stdout, _ := f.run("watch", "--recent", "10", "--count", "1", "--service", "ledger", "--code", "3000-3999")
	is.Equal(code, OK)
	is.Equal(stdout, "07:08:09.123  10.1.0.1         upstream-chosen    r-1 ledger/sale  -> ledger-1 (attempt 2)"+
		"  least-outstanding [requests outstanding there: 3]  +1.5ms\n")
	code, stdout, _ = f.run("explain", "r-1", "-o", "json")
	is.Equal(code, OK)
	is.True(json.Valid([]byte(stdout)))
}

func TestReasonIsNotRepeated(t *testing.T) {
	tests := []struct{ reason, detail, want string }{
		{"", "", ""},
		{"connect-failed", "connect-failed: refused", "connect-failed: refused"},
		{"connect-failed", "connect-failed", "connect-failed"},
		{"published", "services/ledger", "published: services/ledger"},
		{"", "free text", "free text"},
	}
	for _, tc := range tests {
		is.New(t).Equal(reasonText(&operatorv1.Event{Reason: tc.reason, Detail: tc.detail}), tc.want)
	}
}

func TestColourMarksTheLevel(t *testing.T) {
	is := is.New(t)
	e := eventOf("warn")
	is.True(strings.Contains(eventLine(e, true), colourYellow))
	is.True(!strings.Contains(eventLine(e, false), "\x1b"))
}

// TestDocsListTheExitCodes checks the table in docs/SPINDLECTL.md against codeMeanings.
func TestDocsListTheExitCodes(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("../../docs/SPINDLECTL.md")
	is.NoErr(err)
	for code, meaning := range codeMeanings {
		is.True(strings.Contains(string(b), tableRow(code, meaning))) // docs/SPINDLECTL.md lacks the row
	}
}

func tableRow(code int, meaning string) string {
	return "| " + strconv.Itoa(code) + " | " + meaning + " |"
}

func eventOf(level string) *operatorv1.Event {
	return &operatorv1.Event{Name: "x", Level: level}
}
