package tlsconf

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
)

// testCA is a certificate authority for tests.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	certificate, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return &testCA{certificate, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a new certificate, its key, and the certificate of the authority to
// trust to dir.
func (a *testCA) issue(t *testing.T, dir, name string, trust *testCA) Files {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{"entry"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	f := Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	is.NoErr(os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	is.NoErr(os.WriteFile(f.CA, trust.pem, 0o600))
	return f
}

// fakeClock is a clock that tests can advance.
type fakeClock struct{ offset atomic.Int64 }

func (c *fakeClock) now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }
func (c *fakeClock) advance()       { c.offset.Add(int64(checkInterval)) }

func mustLoad(t *testing.T, f Files, c *fakeClock, onReload func(error)) *Reloader {
	t.Helper()
	r, err := Load(f, Options{Now: c.now, OnReload: onReload})
	is.New(t).NoErr(err)
	return r
}

func serve(t *testing.T, creds credentials.TransportCredentials) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := grpc.NewServer(grpc.Creds(creds))
	healthv1.RegisterHealthServer(s, health.NewServer())
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(s.Stop)
	return ln.Addr().String()
}

// call makes one gRPC call over a new connection.
func call(t *testing.T, address string, creds credentials.TransportCredentials) error {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(creds))
	is.New(t).NoErr(err)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = healthv1.NewHealthClient(conn).Check(ctx, &healthv1.HealthCheckRequest{})
	return err
}

func TestMutualTLSRequiresTrustedAuthority(t *testing.T) {
	is := is.New(t)
	trusted, untrusted := newTestCA(t), newTestCA(t)
	var c fakeClock
	server := mustLoad(t, trusted.issue(t, t.TempDir(), "server", trusted), &c, nil)
	address := serve(t, server.Credentials(""))

	good := mustLoad(t, trusted.issue(t, t.TempDir(), "peer", trusted), &c, nil)
	is.NoErr(call(t, address, good.Credentials("")))
	is.NoErr(call(t, address, good.Credentials("entry")))
	is.True(call(t, address, good.Credentials("other")) != nil) // not a name in the certificate

	stranger := mustLoad(t, untrusted.issue(t, t.TempDir(), "stranger", trusted), &c, nil)
	is.True(call(t, address, stranger.Credentials("")) != nil) // untrusted authority

	pool := x509.NewCertPool()
	pool.AddCert(trusted.certificate)
	is.True(call(t, address, credentials.NewTLS(&tls.Config{RootCAs: pool})) != nil) // no certificate
	is.True(call(t, address, insecure.NewCredentials()) != nil)                      // no TLS

	distrustful := mustLoad(t, trusted.issue(t, t.TempDir(), "peer", untrusted), &c, nil)
	is.True(call(t, address, distrustful.Credentials("")) != nil) // the client rejects the server
}

func TestReloadTakesEffectWithoutRestart(t *testing.T) {
	is := is.New(t)
	old, renewed := newTestCA(t), newTestCA(t)
	var c fakeClock
	var reloads, failures atomic.Int32
	dir := t.TempDir()
	files := old.issue(t, dir, "server", old)
	server := mustLoad(t, files, &c, func(err error) {
		if err != nil {
			failures.Add(1)
			return
		}
		reloads.Add(1)
	})
	address := serve(t, server.Credentials(""))
	before := mustLoad(t, old.issue(t, t.TempDir(), "peer", old), &c, nil)
	after := mustLoad(t, renewed.issue(t, t.TempDir(), "peer", renewed), &c, nil)
	is.NoErr(call(t, address, before.Credentials("")))
	is.True(call(t, address, after.Credentials("")) != nil)

	is.NoErr(os.WriteFile(files.Certificate, []byte("half written"), 0o600))
	c.advance()
	is.NoErr(call(t, address, before.Credentials(""))) // the previous certificates remain in use
	is.Equal(failures.Load(), int32(1))

	renewed.issue(t, dir, "server", renewed)
	c.advance()
	is.NoErr(call(t, address, after.Credentials("")))
	is.True(call(t, address, before.Credentials("")) != nil)
	is.Equal(reloads.Load(), int32(1))
}

func TestLoadRejectsUnusableFiles(t *testing.T) {
	is := is.New(t)
	f := newTestCA(t).issue(t, t.TempDir(), "server", newTestCA(t))
	_, err := Load(Files{Certificate: f.Certificate}, Options{})
	is.True(err != nil) // key and authority missing
	_, err = Load(Files{f.Certificate, f.Key, f.Key}, Options{})
	is.True(err != nil) // no certificate in the authority file
	_, err = Load(Files{f.Certificate, f.Key, f.Key + "x"}, Options{})
	is.True(err != nil) // authority file does not exist
	is.NoErr(Files{}.Validate())
}
