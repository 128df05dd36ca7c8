package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

// authority signs certificates and writes them to a directory.
type authority struct {
	t           *testing.T
	dir, name   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// notAfter is the end of validity of issued certificates.
	notAfter time.Time
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{t: t, dir: t.TempDir(), name: name, certificate: certificate, key: key, notAfter: time.Now().Add(time.Hour)}
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) path(file string) string { return filepath.Join(a.dir, file) }

func (a *authority) write(file, kind string, der []byte) {
	a.t.Helper()
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(a.path(file), block, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// issue writes NAME.pem and NAME.key for a DNS name and returns their paths.
func (a *authority) issue(name, dns string) (string, string) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: a.notAfter, DNSNames: []string{dns},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
	return a.path(name + ".pem"), a.path(name + ".key")
}

func (a *authority) pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// The DNS names in the certificates.
const (
	entryName    = "entry.test"
	upstreamName = "upstream.test"
)

// securedFleet is a fleet in which every connection except those to the platform uses TLS.
type securedFleet struct {
	*fleet
	peers, operators, callers, upstreamAuthority *authority
	// ran counts the requests that the upstream ran.
	ran atomic.Int64
}

func newSecuredFleet(t *testing.T, entries int) *securedFleet {
	t.Helper()
	s := &securedFleet{
		fleet: &fleet{t: t, network: network()},
		peers: newAuthority(t, "peers"), operators: newAuthority(t, "operators"),
		callers: newAuthority(t, "callers"), upstreamAuthority: newAuthority(t, "upstreams"),
	}
	s.client = s.clientTrusting(s.callers)
	s.startUpstream()
	listen := s.address(platformByte, platformPort)
	s.platform = "http://" + listen
	start(t, "spindle-standin", "platform", "--listen", listen)
	s.waitFor("platform", func() bool { return s.get(s.platform+"/v1/reads") == nil })
	flags := s.flags()
	for range entries {
		s.addSecured(flags)
	}
	s.publishHosts()
	document := s.document()
	document.Groups[0].TLS = config.TLS{Enabled: true, ServerName: upstreamName}
	s.publish(document)
	for _, e := range s.entries {
		s.waitReady(e)
	}
	return s
}

// flags returns the TLS settings of every entry host.
func (s *securedFleet) flags() []string {
	keys := s.peers.path("fleet.keys")
	if err := os.WriteFile(keys, []byte(strings.Repeat("5c", 32)+"\n"), 0o600); err != nil {
		s.t.Fatal(err)
	}
	flags := []string{"--fleet-key-file", keys, "--upstream-tls-ca", s.upstreamAuthority.path("ca.pem")}
	for prefix, a := range map[string]*authority{"peer": s.peers, "operator": s.operators, "caller": s.callers} {
		certificate, key := a.issue("entry", entryName)
		flags = append(flags, "--"+prefix+"-tls-cert", certificate, "--"+prefix+"-tls-key", key)
		if prefix != "caller" {
			flags = append(flags, "--"+prefix+"-tls-ca", a.path("ca.pem"), "--"+prefix+"-tls-server-name", entryName)
		}
	}
	return flags
}

// addSecured starts an entry host with the flags.
func (s *securedFleet) addSecured(flags []string) {
	last := len(s.entries) + 1
	e := &entryHost{
		caller: s.address(last, callerPort), admin: s.address(last, adminPort),
		peer: s.address(last, peerPort), operator: s.address(last, operatorPort),
		domain: domains[len(s.entries)%len(domains)],
	}
	e.args = append([]string{
		"--listen", e.caller, "--admin-listen", e.admin, "--peer-listen", e.peer, "--operator-listen", e.operator,
		"--failure-domain", e.domain, "--platform", s.platform, "--stop-grace", "500ms",
	}, flags...)
	e.process = start(s.t, "spindled", e.args...)
	s.entries = append(s.entries, e)
}

// startUpstream serves a TLS upstream in this process.
func (s *securedFleet) startUpstream() {
	s.t.Helper()
	certificate, key := s.upstreamAuthority.issue("upstream", upstreamName)
	address := s.address(firstUpstream, upstreamPort)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ran.Add(1)
		_, _ = fmt.Fprintf(w, "%s %d", r.URL.Path, r.TLS.Version)
	})}
	go func() { _ = server.ServeTLS(ln, certificate, key) }()
	s.t.Cleanup(func() { _ = server.Close() })
	s.upstreams = []string{address}
}

// clientTrusting returns a client that trusts a and makes a handshake for each request.
func (s *securedFleet) clientTrusting(a *authority) *http.Client {
	conf := &tls.Config{RootCAs: a.pool(), ServerName: entryName}
	return &http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{TLSClientConfig: conf, DisableKeepAlives: true},
	}
}

// ctl runs spindlectl against an entry host and returns the output and the exit code.
func (s *securedFleet) ctl(e *entryHost, args ...string) (string, int) {
	s.t.Helper()
	cmd := exec.Command(programPath("spindlectl"), append([]string{"--server", e.operator}, args...)...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// operatorArgs returns the arguments of spindlectl for an operator whose certificate a issues.
func (s *securedFleet) operatorArgs(a *authority) []string {
	certificate, key := a.issue("ana", "ana.test")
	return []string{
		"--tls-cert", certificate, "--tls-key", key, "--tls-ca", s.operators.path("ca.pem"), "--tls-server-name", entryName,
	}
}

func TestEveryRoleOverTLS(t *testing.T) {
	s := newSecuredFleet(t, 3)
	t.Run("members", s.checkMembers)
	t.Run("operators", s.checkOperators)
	t.Run("callers", s.checkCallers)
	t.Run("tickets", s.checkTickets)
	t.Run("replaced", s.checkRotation)
}

// checkMembers waits until every entry host lists all others and can query them.
func (s *securedFleet) checkMembers(t *testing.T) {
	ana := s.operatorArgs(s.operators)
	for _, e := range s.entries {
		s.waitFor("members at "+e.peer, func() bool {
			out, code := s.ctl(e, append(ana, "status")...)
			for _, other := range s.entries {
				if !strings.Contains(out, other.peer) {
					return false
				}
			}
			return code == 0 && !strings.Contains(out, "can't be asked")
		})
	}
}

// refusedExit is spindlectl's exit code when the entry host refuses it.
const refusedExit = 6

func (s *securedFleet) checkOperators(t *testing.T) {
	e := s.entries[0]
	if out, code := s.ctl(e, append(s.operatorArgs(s.operators), "service", "list")...); code != 0 || !strings.Contains(out, "ledger") {
		t.Errorf("with a certificate: exit code %d, %s", code, out)
	}
	refused := map[string][]string{"no TLS": nil, "another authority": s.operatorArgs(s.peers)}
	for name, args := range refused {
		if out, code := s.ctl(e, append(args, "service", "list")...); code != refusedExit {
			t.Errorf("%s: exit code %d, %s", name, code, out)
		}
	}
	// The listener for peers does not accept an operator's certificate.
	peer := &entryHost{operator: e.peer}
	if out, code := s.ctl(peer, append(s.operatorArgs(s.operators), "service", "list")...); code != refusedExit || !strings.Contains(out, "certificate") {
		t.Errorf("at the peers' listener: exit code %d, %s", code, out)
	}
}

func (s *securedFleet) checkCallers(t *testing.T) {
	for _, e := range s.entries {
		resp, err := s.client.Get("https://" + e.caller + "/ledger/lookup")
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if want := fmt.Sprintf("/ledger/lookup %d", tls.VersionTLS13); resp.StatusCode != http.StatusOK || string(body) != want {
			t.Errorf("%s: %s, %s", e.caller, resp.Status, body)
		}
	}
	before := s.ran.Load()
	resp, err := s.client.Get("http://" + s.entries[0].caller + "/ledger/lookup")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest || s.ran.Load() != before {
		t.Errorf("plaintext HTTP: %s", resp.Status)
	}
}

// checkTickets uses the ticket of one entry host at another, which forwards the request to its
// peer.
func (s *securedFleet) checkTickets(t *testing.T) {
	before := s.ran.Load()
	_, header := s.post(t, s.entries[0], "")
	ticket := header.Get("Dapplespindle-Ticket")
	for range 2 { // the second is answered from the record
		status, header := s.post(t, s.entries[1], ticket)
		if status != http.StatusOK {
			t.Errorf("with a ticket: %d %s", status, header.Get("Dapplespindle-Error"))
		}
	}
	if n := s.ran.Load() - before; n != 1 {
		t.Errorf("ran %d times", n)
	}
}

func (s *securedFleet) post(t *testing.T, e *entryHost, ticket string) (int, http.Header) {
	t.Helper()
	req, _ := http.NewRequest(http.MethodPost, "https://"+e.caller+"/ledger/sale", strings.NewReader("one"))
	if ticket != "" {
		req.Header.Set("Idempotency-Key", ticket)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// checkRotation replaces the certificate for callers by one from another authority.
func (s *securedFleet) checkRotation(t *testing.T) {
	renewed := newAuthority(t, "renewed")
	renewed.dir = s.callers.dir
	renewed.issue("entry", entryName)
	trusting := s.clientTrusting(renewed)
	for _, e := range s.entries {
		s.waitFor("the new certificate at "+e.caller, func() bool {
			resp, err := trusting.Get("https://" + e.caller + "/ledger/lookup")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		if resp, err := s.client.Get("https://" + e.caller + "/ledger/lookup"); err == nil {
			_ = resp.Body.Close()
			t.Errorf("%s still presents the old certificate", e.caller)
		}
	}
}

// TestExpiredCertificateIsReported starts an entry host whose certificate for callers has
// expired, so that callers refuse it.
func TestExpiredCertificateIsReported(t *testing.T) {
	a := newAuthority(t, "callers")
	a.notAfter = time.Now().Add(-time.Minute)
	s := &securedFleet{fleet: &fleet{t: t, network: network(), client: http.DefaultClient}}
	s.platform = "http://" + s.address(platformByte, platformPort)
	certificate, key := a.issue("entry", entryName)
	s.addSecured([]string{"--caller-tls-cert", certificate, "--caller-tls-key", key})
	e := s.entries[0]
	s.waitFor("the listener", func() bool {
		_, err := s.clientTrusting(a).Get("https://" + e.caller + "/")
		return err != nil && strings.Contains(err.Error(), "expired")
	})
	if log, err := os.ReadFile(e.log.Name()); err != nil || !strings.Contains(string(log), "certificate-expired") {
		t.Errorf("no event in the log (%v)", err)
	}
}

// TestGroupWithTLSIsNeverSentInPlaintext configures TLS for a group on an entry host that has
// no certificate authority for upstreams.
func TestGroupWithTLSIsNeverSentInPlaintext(t *testing.T) {
	f := newFleet(t, 1, 1)
	document := f.document()
	document.Groups[0].TLS.Enabled = true
	f.publish(document)
	url := "http://" + f.entries[0].caller + "/ledger/lookup"
	f.waitFor("the document", func() bool {
		resp, err := f.client.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.Header.Get("Dapplespindle-Error") == "upstream-tls-not-set"
	})
	before := f.served(f.upstreams[0])
	resp, err := f.client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Dapplespindle-Outcome") != "not-run" {
		t.Errorf("%s, outcome %s", resp.Status, resp.Header.Get("Dapplespindle-Outcome"))
	}
	if after := f.served(f.upstreams[0]); after != before {
		t.Errorf("the upstream served %d more requests", after-before)
	}
}
