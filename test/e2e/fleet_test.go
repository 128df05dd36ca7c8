// Package e2e runs the real binaries on loopback, injects failures and compares the outcomes
// reported to callers with what the upstreams recorded.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/internal/platform"
	"github.com/dapplespindle/dapplespindle/internal/standin"
	"github.com/dapplespindle/dapplespindle/pkg/config"
)

var binaries string

// otherBuild is a directory with the binaries of another version. If it is set, every second
// process runs that version, as during a rolling update.
var otherBuild = os.Getenv("OTHER_BUILD")

var processes atomic.Int32

// programPath returns the path of the binary that the next process runs.
func programPath(name string) string {
	if otherBuild != "" && processes.Add(1)%2 == 0 {
		return filepath.Join(otherBuild, name)
	}
	return filepath.Join(binaries, name)
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "dapplespindle-e2e")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// maxParallel is the maximum number of fleets that run at the same time in parallel tests.
const maxParallel = 6

var parallelSlots = make(chan struct{}, maxParallel)

// parallel runs a test that puts little load on the machine in parallel with others that
// call it.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	parallelSlots <- struct{}{}
	t.Cleanup(func() { <-parallelSlots })
}

// process is one started binary.
type process struct {
	cmd *exec.Cmd
	log *os.File
}

// long reports whether E2E_LONG requests the long versions of the tests.
func long() bool { return os.Getenv("E2E_LONG") != "" }

// scaled returns short, or ten times short for the long versions of the tests.
func scaled(short int) int {
	if long() {
		return 10 * short
	}
	return short
}

func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), filepath.Base(name)+".log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(programPath(name), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: cmd, log: log}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			p.printTail(t)
		}
	})
	return p
}

func (p *process) signal(sig os.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// stop requests a graceful shutdown and returns the exit error.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	return p.cmd.Wait()
}

const logTailBytes = 2000

func (p *process) printTail(t *testing.T) {
	b, _ := os.ReadFile(p.log.Name())
	t.Logf("%s: %s", p.log.Name(), b[max(0, len(b)-logTailBytes):])
}

// entryHost is one daemon with its addresses.
type entryHost struct {
	*process
	caller, admin, peer, operator string
	domain                        string
	args                          []string
}

// fleet is a platform, upstreams and entry hosts.
type fleet struct {
	t         *testing.T
	network   string
	platform  string
	upstreams []string
	entries   []*entryHost
	client    *http.Client
	hostArgs  []string // further arguments of each entry host
	policy    string   // of the document's group; empty for the default
	logs      hostLogs
}

// fleets counts the fleets of this process. Each has a loopback network of its own, so that
// ports never collide.
var fleets atomic.Int32

// Ports and last address bytes within a fleet's network.
const (
	callerPort, adminPort, peerPort, operatorPort = 8080, 8081, 8082, 8083

	upstreamPort, platformPort = 9000, 7000

	firstUpstream, platformByte = 200, 250
)

// network returns the first three bytes of the loopback network of a new fleet.
func network() string {
	return fmt.Sprintf("127.%d.%d.", 64+os.Getpid()%128, fleets.Add(1))
}

func (f *fleet) address(last, port int) string {
	return fmt.Sprintf("%s%d:%d", f.network, last, port)
}

// deadlyPath is the path of requests that crash the process of an upstream.
const deadlyPath = "/ledger/deadly"

var domains = []string{"caruaru", "petrolina", "feira-de-santana", "campina-grande"}

const (
	upstreamMean = 3 * time.Millisecond
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// newFleet starts a platform, a service with the given number of upstreams, and entry hosts.
// Each entry host gets hostArgs in addition to its own arguments.
func newFleet(t *testing.T, upstreams, entries int, hostArgs ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, network: network(), client: &http.Client{Timeout: 5 * time.Second}, hostArgs: hostArgs}
	_ = t.TempDir() // created first, so that it is removed after the logs were checked
	t.Cleanup(func() { f.logs.check(t) })
	listen := f.address(platformByte, platformPort)
	f.platform = "http://" + listen
	start(t, "spindle-standin", "platform", "--listen", listen)
	for i := range upstreams {
		addr := f.address(firstUpstream+i, upstreamPort)
		f.startUpstream(i, addr)
		f.upstreams = append(f.upstreams, addr)
	}
	f.waitFor("platform", func() bool { return f.get(f.platform+"/v1/reads") == nil })
	for range entries {
		f.addEntry()
	}
	f.publishHosts()
	f.publish(f.document())
	for _, e := range f.entries {
		f.waitReady(e)
	}
	return f
}

func (f *fleet) startUpstream(i int, addr string) *process {
	host, port, _ := net.SplitHostPort(addr)
	return start(f.t, "spindle-standin", "upstream", "--host", host, "--port", port,
		"--name", "up"+strconv.Itoa(i+1), "--mean", upstreamMean.String(), "--ends-under", deadlyPath)
}

// addEntry starts one more entry host.
func (f *fleet) addEntry() *entryHost {
	last := len(f.entries) + 1
	e := &entryHost{
		caller:   f.address(last, callerPort),
		admin:    f.address(last, adminPort),
		peer:     f.address(last, peerPort),
		operator: f.address(last, operatorPort),
		domain:   domains[len(f.entries)%len(domains)],
	}
	e.args = []string{
		"--listen", e.caller, "--admin-listen", e.admin, "--peer-listen", e.peer, "--operator-listen", e.operator,
		"--failure-domain", e.domain, "--platform", f.platform, "--stop-grace", "500ms",
	}
	e.args = append(e.args, f.hostArgs...)
	f.restart(e)
	f.entries = append(f.entries, e)
	return e
}

// restart starts the same entry host again after it was killed or stopped.
func (f *fleet) restart(e *entryHost) {
	e.process = start(f.t, "spindled", e.args...)
	f.logs.add(e.log.Name())
}

func (f *fleet) publishHosts() { f.put("/v1/hosts", f.hosts()) }

func (f *fleet) hosts() []platform.Host {
	var hosts []platform.Host
	for _, e := range f.entries {
		hosts = append(hosts, platform.Host{IP: "127.0.0.1", PeerAddress: e.peer, FailureDomain: e.domain, State: platform.Live})
	}
	return hosts
}

// publish publishes a document and returns its revision.
func (f *fleet) publish(s *config.Service) uint64 {
	f.t.Helper()
	var got platform.Changes
	if err := json.Unmarshal(f.put("/v1/config/services/"+s.Name, s), &got); err != nil {
		f.t.Fatal(err)
	}
	return got.Revision
}

// faults sets the faults of the platform.
func (f *fleet) faults(to standin.Faults) {
	f.t.Helper()
	f.put("/v1/faults", to)
}

// document returns a service with one repeatable and one non-repeatable rule over all
// upstreams.
func (f *fleet) document() *config.Service {
	group := config.Group{Name: "main", Policy: f.policy}
	for i, addr := range f.upstreams {
		group.Upstreams = append(group.Upstreams, config.Upstream{
			ID: fmt.Sprintf("up%d-1", i+1), Address: addr, FailureDomain: domains[i%len(domains)],
		})
	}
	s := &config.Service{
		Name:   "ledger",
		Match:  config.Match{PathPrefix: "/ledger/"},
		Groups: []config.Group{group},
		Rules: []config.Rule{
			{Name: "sale", Methods: []string{"POST"}, Group: "main", Repeat: config.NonRepeatable, Deadline: config.Duration(time.Second)},
			{Name: "lookup", Group: "main", Repeat: config.Repeatable, Deadline: config.Duration(time.Second)},
		},
	}
	s.SetDefaults()
	return s
}

// put sends v to the platform and returns the response body.
func (f *fleet) put(path string, v any) []byte {
	f.t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	req, _ := http.NewRequest(http.MethodPut, f.platform+path, bytes.NewReader(body))
	resp, err := f.client.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	answer, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode/100 != 2 {
		f.t.Fatalf("PUT %s: %s %v", path, resp.Status, err)
	}
	return answer
}

func (f *fleet) get(url string) error {
	resp, err := f.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}

// status returns the HTTP status of a GET through an entry host.
func (f *fleet) status(e *entryHost, path string) int {
	f.t.Helper()
	resp, err := f.client.Get("http://" + e.caller + path)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (f *fleet) waitReady(e *entryHost) {
	f.t.Helper()
	f.waitFor("entry host "+e.caller, func() bool { return f.get("http://"+e.admin+"/readyz") == nil })
}

func (f *fleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: not within %s", what, readyTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// ledger returns how often each action ran, summed over the records of all upstreams.
func (f *fleet) ledger() map[string]int {
	f.t.Helper()
	total := make(map[string]int)
	for _, addr := range f.upstreams {
		resp, err := f.client.Get("http://" + addr + "/_ledger")
		if err != nil {
			f.t.Fatal(err)
		}
		one := make(map[string]int)
		err = json.NewDecoder(resp.Body).Decode(&one)
		_ = resp.Body.Close()
		if err != nil {
			f.t.Fatal(err)
		}
		for action, n := range one {
			total[action] += n
		}
	}
	return total
}

// served returns how many requests an upstream has started.
func (f *fleet) served(addr string) int64 {
	f.t.Helper()
	resp, err := f.client.Get("http://" + addr + "/_served")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	n, err := strconv.ParseInt(string(bytes.TrimSpace(body)), 10, 64)
	if err != nil {
		f.t.Fatal(err)
	}
	return n
}
