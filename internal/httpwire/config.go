package httpwire

import (
	"cmp"
	"context"
	"crypto/tls"
	"time"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// Handler serves one request. Serve runs on its own goroutine; ctx is cancelled
// when the caller's connection closes. Serve must return a response with a status.
type Handler interface {
	Serve(ctx context.Context, req *Request) *Response
}

// Defaults of ServerConfig.
const (
	DefaultMaxHeadBytes   = 64 << 10
	DefaultHeadTimeout    = 10 * time.Second
	DefaultBodyTimeout    = 30 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
	DefaultIdleTimeout    = 120 * time.Second
	DefaultMaxConnections = 100_000

	DefaultHandshakeTimeout = 10 * time.Second
)

// ServerConfig configures a Server. Zero limits and timeouts take their defaults.
type ServerConfig struct {
	// Address is the IP:port to listen on.
	Address string
	// MaxHeadBytes bounds a request head, in bytes.
	MaxHeadBytes int
	// MaxBodyBytes bounds a request body, in bytes.
	MaxBodyBytes int
	// MaxBufferedBytes bounds the bytes of requests and responses held in memory for all
	// connections: requests being received or served, and responses that callers have not
	// read yet. Above it, new requests are refused. Default: 0, no limit.
	MaxBufferedBytes int64
	// MaxConnections bounds the caller connections; further ones are closed at once.
	MaxConnections int
	// HeadTimeout bounds the time from the first byte of a head to its last.
	HeadTimeout time.Duration
	// BodyTimeout bounds the time from the end of the head to the last byte of the body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time until the kernel has accepted a complete response.
	WriteTimeout time.Duration
	// IdleTimeout bounds the time for which a connection without a request stays open.
	IdleTimeout time.Duration
	// TLS is the configuration for caller connections; nil serves without TLS.
	TLS *tls.Config
	// HandshakeTimeout bounds the time from the connection to the end of its TLS handshake.
	HandshakeTimeout time.Duration
	// OnHandshakeFailed is called for each failed handshake. It must not block; nil is allowed.
	OnHandshakeFailed func(remoteAddr string, err error)
	// Handler serves the requests.
	Handler Handler
	// Refuse builds the response to a request that is refused before it reaches
	// Handler, and may report the refusal. It must not block. If it is nil, a
	// plain-text response is sent.
	Refuse func(remoteAddr string, err *errkind.Error) *Response
}

// maxPipelinedBytes bounds the pipelined bytes that are buffered while a request
// is served. If a caller sends more, the connection is closed after the current
// response.
const maxPipelinedBytes = 64 << 10

// withDefaults returns c with zero limits and timeouts replaced by their defaults.
func (c ServerConfig) withDefaults() ServerConfig {
	c.MaxHeadBytes = cmp.Or(c.MaxHeadBytes, DefaultMaxHeadBytes)
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.HeadTimeout = cmp.Or(c.HeadTimeout, DefaultHeadTimeout)
	c.BodyTimeout = cmp.Or(c.BodyTimeout, DefaultBodyTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, DefaultHandshakeTimeout)
	if c.Refuse == nil {
		c.Refuse = plainRefusal
	}
	return c
}

// plainRefusal builds the response that the error table defines for the kind.
func plainRefusal(_ string, err *errkind.Error) *Response {
	answer := err.Kind.Answer()
	return &Response{
		Status: answer.Status,
		Header: map[string][]string{
			"Content-Type":          {"text/plain; charset=utf-8"},
			"Dapplespindle-Outcome": {answer.Outcome.String()},
			"Dapplespindle-Error":   {answer.Name},
		},
		Body: []byte(err.Error() + "\n"),
	}
}
