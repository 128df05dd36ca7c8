package tlsconf

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveHandshakes accepts TLS connections, each with the configuration that conf
// returns for it, and writes one byte to each.
func serveHandshakes(t *testing.T, conf func() *tls.Config) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = tls.Server(c, conf()).Write([]byte{1})
			}()
		}
	}()
	return ln.Addr().String()
}

// connect makes a handshake and reads the byte that follows it.
func connect(address string, conf *tls.Config) error {
	d := net.Dialer{Timeout: 10 * time.Second}
	c, err := tls.DialWithDialer(&d, "tcp", address, conf)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	var one [1]byte
	_, err = c.Read(one[:])
	return err
}

func loadUpstreams(t *testing.T, f Files, c *fakeClock) *Reloader {
	t.Helper()
	r, err := LoadUpstreams(f, Options{Now: c.now})
	is.New(t).NoErr(err)
	return r
}

func TestCallersAndUpstreamsReload(t *testing.T) {
	is := is.New(t)
	old, renewed := newTestCA(t), newTestCA(t)
	var c fakeClock
	dir, clientDir := t.TempDir(), t.TempDir()
	files := old.issue(t, dir, "entry", old)
	callers, err := LoadCallers(files, Options{Now: c.now}) // callers must show a certificate
	is.NoErr(err)
	conf := callers.CallerConfig()
	address := serveHandshakes(t, func() *tls.Config { return conf })
	client := loadUpstreams(t, old.issue(t, clientDir, "client", old), &c)
	stale := loadUpstreams(t, old.issue(t, t.TempDir(), "client", old), &c)
	sessions := tls.NewLRUClientSessionCache(1)
	resuming := func(r *Reloader) *tls.Config {
		conf := r.UpstreamConfig("entry")
		conf.ClientSessionCache = sessions
		return conf
	}
	is.NoErr(connect(address, resuming(stale)))
	is.NoErr(connect(address, client.UpstreamConfig("entry")))
	is.True(connect(address, client.UpstreamConfig("other")) != nil)

	renewed.issue(t, dir, "entry", renewed)
	c.advance()
	is.True(connect(address, stale.UpstreamConfig("entry")) != nil)
	is.True(connect(address, resuming(stale)) != nil) // an earlier session can't be resumed either
	renewed.issue(t, clientDir, "client", renewed)
	c.advance()
	is.NoErr(connect(address, client.UpstreamConfig("entry")))
	is.NoErr(os.WriteFile(files.Key, []byte("half written"), 0o600))
	c.advance()
	is.NoErr(connect(address, client.UpstreamConfig("entry"))) // the previous certificates remain in use
}

func TestLoadCallersAndUpstreams(t *testing.T) {
	is := is.New(t)
	f := newTestCA(t).issue(t, t.TempDir(), "entry", newTestCA(t))
	other := newTestCA(t).issue(t, t.TempDir(), "entry", newTestCA(t))
	tests := map[string]struct {
		load  func(Files, Options) (*Reloader, error)
		files Files
		ok    bool
	}{
		"callers":                          {LoadCallers, Files{f.Certificate, f.Key, ""}, true},
		"callers with certificates":        {LoadCallers, f, true},
		"callers without a key":            {LoadCallers, Files{f.Certificate, "", f.CA}, false},
		"callers without a certificate":    {LoadCallers, Files{"", "", f.CA}, false},
		"callers, another key":             {LoadCallers, Files{f.Certificate, other.Key, ""}, false},
		"callers, a missing authority":     {LoadCallers, Files{f.Certificate, f.Key, f.Key + "x"}, false},
		"upstreams":                        {LoadUpstreams, Files{"", "", f.CA}, true},
		"upstreams with a certificate":     {LoadUpstreams, f, true},
		"upstreams without an authority":   {LoadUpstreams, Files{f.Certificate, f.Key, ""}, false},
		"upstreams without a key":          {LoadUpstreams, Files{f.Certificate, "", f.CA}, false},
		"upstreams, another key":           {LoadUpstreams, Files{f.Certificate, other.Key, f.CA}, false},
		"upstreams, no authority in a key": {LoadUpstreams, Files{"", "", f.Key}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := test.load(test.files, Options{})
			is.New(t).Equal(err == nil, test.ok)
		})
	}
	is.Equal(loadUpstreams(t, Files{CA: f.CA}, new(fakeClock)).Expires(), time.Time{})
}
