package relay

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/relay"
)

const (
	// maxRelays bounds the connections that a host relays. Each holds two descriptors and two
	// buffers of maxFrameBytes; 256 hold 4 MB of buffers.
	maxRelays = 256
	// connectTimeout bounds connecting to the upstream. It is shorter than tryTimeout, so that the
	// other host learns that the upstream does not respond, and not this host.
	connectTimeout = 150 * time.Millisecond
	// idleTimeout closes a connection without bytes in either direction. It is longer than any
	// request may take, and than the time for which hosts keep an idle connection.
	idleTimeout = 90 * time.Second
	// sweepInterval is how often idle connections are looked for.
	sweepInterval = 10 * time.Second
	// writeTimeout bounds one write. A reader that takes nothing for that long is gone.
	writeTimeout = 20 * time.Second
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Known reports whether ip is that of an entry host of the fleet.
	Known func(ip netip.Addr) bool
	// Registered reports whether there is an upstream with a target string.
	Registered func(target string) bool
	// ID returns the ID of the upstream with a target string, for logs.
	ID func(target string) string
	// CutOff reports whether this host reaches no upstream itself.
	CutOff func() bool
	// Connect connects to the upstream with a target string.
	Connect func(ctx context.Context, target string) (net.Conn, error)
	// Events receives an event for each connection that is relayed or rejected.
	Events event.Sink
}

// Server relays connections of other hosts. It implements http.Handler for CONNECT requests.
//
// Connections of other hosts are never relayed to a third host: Connect connects directly.
type Server struct {
	conf ServerConfig

	mu      sync.Mutex
	leaving bool
	// reserved counts the connections that are being established.
	reserved int
	relays   map[*relayed]bool
	sweeper  *time.Timer // nil without connections
}

// NewServer returns a Server.
func NewServer(conf ServerConfig) *Server {
	return &Server{conf: conf, relays: make(map[*relayed]bool)}
}

// Open returns the number of relayed connections.
func (s *Server) Open() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.relays) + s.reserved)
}

// Leave rejects further connections, and tells the hosts to stop using the open ones.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	var all []*relayed
	for r := range s.relays {
		all = append(all, r)
	}
	s.mu.Unlock()
	for _, r := range all {
		go r.send(message(leaving))
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target := r.Header.Get(headerUpstream)
	failure, ok := s.admit(r.RemoteAddr, target)
	if !ok {
		s.reject(w, r.RemoteAddr, target, failure)
		return
	}
	up, err := s.connect(r.Context(), target)
	if err != nil {
		s.release()
		failure = relay.UpstreamUnreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			failure = relay.UpstreamRefused
		}
		s.reject(w, r.RemoteAddr, target, failure)
		return
	}
	s.relay(w, r.RemoteAddr, target, up)
}

func (s *Server) connect(ctx context.Context, target string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return s.conf.Connect(ctx, target)
}

// admit reserves a connection for a host. The caller must release it.
func (s *Server) admit(remote, target string) (failure relay.Failure, ok bool) {
	from, err := netip.ParseAddrPort(remote)
	if err != nil || !s.conf.Known(from.Addr().Unmap()) {
		return relay.Rejected, false
	}
	if !s.conf.Registered(target) {
		return relay.UpstreamUnreachable, false
	}
	if s.conf.CutOff() {
		return relay.CutOff, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return relay.Rejected, false
	case len(s.relays)+s.reserved >= maxRelays:
		return relay.Busy, false
	}
	s.reserved++
	return 0, true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved--
}

func (s *Server) reject(w http.ResponseWriter, remote, target string, f relay.Failure) {
	s.conf.Events.Emit(event.Event{Code: event.RelayRejected, Upstream: s.conf.ID(target), Reason: f.String(), Detail: remote})
	w.Header().Set(headerFailure, f.String())
	w.Header().Set("Connection", "close")
	status := http.StatusServiceUnavailable
	switch {
	case f == relay.Rejected:
		status = http.StatusForbidden
	case f.AboutUpstream():
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
}

// relay copies bytes until one side ends. It uses the reserved connection.
func (s *Server) relay(w http.ResponseWriter, remote, target string, up net.Conn) {
	down, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil || buffered.Reader.Buffered() > 0 {
		s.release()
		resetAndClose(up)
		if down != nil {
			_ = down.Close()
		}
		return
	}
	_ = down.SetDeadline(time.Time{}) // that of the HTTP server
	r := &relayed{up: up, down: down}
	r.touch()
	s.add(r)
	defer s.remove(r)
	s.conf.Events.Emit(event.Event{Code: event.RelayOpened, Upstream: s.conf.ID(target), Detail: remote})
	if _, err := down.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); err != nil {
		r.close()
		return
	}
	var requests sync.WaitGroup
	requests.Go(r.copyRequests)
	r.copyResponses()
	requests.Wait()
}

func (s *Server) add(r *relayed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved--
	s.relays[r] = true
	if s.leaving {
		go r.send(message(leaving))
	}
	if s.sweeper == nil {
		s.sweeper = time.AfterFunc(sweepInterval, s.sweep)
	}
}

func (s *Server) remove(r *relayed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.relays, r)
}

// sweep closes the connections that are idle for too long.
func (s *Server) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for r := range s.relays {
		if now.Sub(r.lastActive()) > idleTimeout {
			go r.close()
		}
	}
	if len(s.relays) == 0 {
		s.sweeper = nil
		return
	}
	s.sweeper.Reset(sweepInterval)
}

// relayed is one relayed connection.
type relayed struct {
	up, down net.Conn // to the upstream, and of the other host

	mu     sync.Mutex // guards the fields below; held to change them only
	active time.Time
	closed bool
	// responsesEnded is set when the upstream has ended its side.
	responsesEnded bool

	sending sync.Mutex // orders frames

	uploading sync.Mutex // held during a write to the upstream; guards the fields below
	// uploadEnded is set when the upstream takes no more of the request, and reset when a write showed
	// that it has reset the connection. The write then takes the socket's error, and a read returns
	// end of file as if the upstream had closed the connection in an orderly way.
	uploadEnded, reset bool
}

func (r *relayed) touch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active = clock.Now()
}

func (r *relayed) lastActive() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// copyRequests copies to the upstream. When the other host closes the connection, the upstream can
// stop working at once.
func (r *relayed) copyRequests() {
	buffer := make([]byte, maxFrameBytes)
	for {
		n, err := r.down.Read(buffer)
		r.touch()
		if n > 0 && !r.upload(buffer[:n]) {
			err = io.ErrClosedPipe
		}
		if err != nil {
			r.close()
			return
		}
	}
}

// upload writes to the upstream. It returns false if the connection has to be closed. When the upstream has
// ended its side, the rest of the request is dropped.
func (r *relayed) upload(b []byte) bool {
	r.uploading.Lock()
	defer r.uploading.Unlock()
	if r.uploadEnded = r.uploadEnded || !r.extendUpload(); r.uploadEnded {
		return true
	}
	_, err := r.up.Write(b)
	switch {
	case err == nil:
		return true
	case errors.Is(err, syscall.EPIPE), errors.Is(err, os.ErrDeadlineExceeded) && !r.extendUpload():
		r.uploadEnded = true
		return true
	default:
		r.reset = true
		return false
	}
}

// extendUpload allows another writeTimeout for writes to the upstream, unless it has ended its side.
func (r *relayed) extendUpload() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.responsesEnded {
		_ = r.up.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	return !r.responsesEnded
}

// endUpload ends a pending write to the upstream, which has ended its side. It returns false if that was not
// an orderly end.
func (r *relayed) endUpload() bool {
	r.mu.Lock()
	r.responsesEnded = true
	_ = r.up.SetWriteDeadline(time.Unix(1, 0))
	r.mu.Unlock()
	r.uploading.Lock()
	defer r.uploading.Unlock()
	return !r.reset
}

// copyResponses copies from the upstream. Only an orderly end is passed on as one.
func (r *relayed) copyResponses() {
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := r.up.Read(buffer[frameHeaderBytes:])
		r.touch()
		if n > 0 {
			binary.BigEndian.PutUint32(buffer, uint32(n))
			if !r.send(buffer[:frameHeaderBytes+n]) {
				r.close()
				return
			}
		}
		if errors.Is(err, io.EOF) && r.endUpload() {
			r.finish()
			return
		}
		if err != nil {
			r.close()
			return
		}
	}
}

// finish ends the connection after the upstream has closed it in an orderly way.
func (r *relayed) finish() {
	r.send(message(endOfStream))
	if tcp, ok := r.down.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other host closes it when it has read the end
	}
	_ = r.down.SetReadDeadline(time.Now().Add(writeTimeout))
}

// send writes one or more whole frames.
func (r *relayed) send(frames []byte) bool {
	r.sending.Lock()
	defer r.sending.Unlock()
	return write(r.down, frames)
}

func write(c net.Conn, b []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(b)
	return err == nil
}

// close resets both connections: what has not arrived yet must not arrive later.
func (r *relayed) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	resetAndClose(r.up)
	resetAndClose(r.down)
}

func resetAndClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
