package tlsconf

import (
	"crypto/tls"
	"sync"
	"time"
)

// checkEvery is the shortest time between two looks at the files.
const checkEvery = time.Second

// Options adapt a Reloader.
type Options struct {
	// Now is the clock. Default: time.Now.
	Now func() time.Time
	// OnReload is told of each change of the files: nil when the new ones are in
	// force, or why the old ones stay. It must not block.
	OnReload func(error)
}

// Reloader holds the certificates in force.
type Reloader struct {
	files Files
	opts  Options

	mu      sync.Mutex
	checked time.Time
	seen    *contents
	current *material
}

// Load reads the files. It fails if they can't be used, so that a process with
// wrong files does not start.
func Load(f Files, opts Options) (*Reloader, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	return load(f, opts)
}

// load reads those of the files that are set.
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

// Expires returns the end of validity of this side's certificate in force, or
// the zero time without one.
func (r *Reloader) Expires() time.Time {
	if leaf := r.material().certificate.Leaf; leaf != nil {
		return leaf.NotAfter
	}
	return time.Time{}
}

// material returns the certificates in force, after a look at the files if
// the last one is a second ago. Files that can't be used leave the old ones.
func (r *Reloader) material() *material {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	if now.Sub(r.checked) < checkEvery {
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

// serverConfig returns the configuration of one handshake as a server: the
// other side must show a certificate of the authority.
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
