package tlsconf

import (
	"crypto/tls"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// Options configures a Reloader.
type Options struct {
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
	// OnReload is called for each change of the files: with nil if the new files are
	// now used, or with the reason why the old ones remain in use. It must not block.
	OnReload func(error)
}

// Reloader holds the current certificates and reloads them when their files change.
type Reloader struct {
	files Files
	opts  Options

	mu      sync.Mutex
	checked time.Time
	seen    *fileContents
	current *material
}

// Load reads the files. It returns an error if they can't be used, so that a process
// with invalid files does not start.
func Load(f Files, opts Options) (*Reloader, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	return load(f, opts)
}

// load reads the files that are set.
func load(f Files, opts Options) (*Reloader, error) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.OnReload == nil {
		opts.OnReload = func(error) {}
	}
	c, err := f.read()
	if err != nil {
		return nil, err
	}
	m, err := c.parse(f)
	if err != nil {
		return nil, err
	}
	return &Reloader{files: f, opts: opts, checked: opts.Now(), seen: c, current: m}, nil
}

// Expires returns when the current certificate of this side expires, or the zero time
// if there is none.
func (r *Reloader) Expires() time.Time {
	if leaf := r.material().certificate.Leaf; leaf != nil {
		return leaf.NotAfter
	}
	return time.Time{}
}

// material returns the current certificates. It first checks the files if the last
// check was at least checkInterval ago. If the new files can't be used, the previous
// certificates remain current.
func (r *Reloader) material() *material {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	if now.Sub(r.checked) < checkInterval {
		return r.current
	}
	r.checked = now
	c, err := r.files.read()
	if err != nil {
		r.opts.OnReload(err)
		return r.current
	}
	if c.equal(r.seen) {
		return r.current
	}
	r.seen = c
	m, err := c.parse(r.files)
	if err == nil {
		r.current = m
	}
	r.opts.OnReload(err)
	return r.current
}

// serverConfig returns the configuration of one handshake as a server. The client must
// present a certificate signed by the authority.
func (r *Reloader) serverConfig() *tls.Config {
	m := r.material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    m.authority,
	}
}

// clientConfig returns the configuration of one handshake as a client.
func (r *Reloader) clientConfig() *tls.Config {
	m := r.material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
	}
}
