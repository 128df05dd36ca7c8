// Package relay connects an entry host to upstreams through another entry host.
//
// The host that is cut off sends CONNECT (RFC 9110) to a peer, with the upstream in a header. The
// peer connects to the upstream and copies bytes. Bytes to the upstream are copied as they are;
// bytes from it are framed, because a peer that is killed closes its connections in the same way
// as an upstream that has sent its whole response.
package relay

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// A frame is a length of frameHeaderBytes in network byte order, and as many bytes. Some lengths
// are messages without bytes.
const (
	frameHeaderBytes = 4
	// maxFrameBytes bounds the bytes of one frame.
	maxFrameBytes = 8 << 10
	// endOfStream means that the upstream has closed the connection in an orderly way.
	endOfStream uint32 = 0
	// leaving means that the peer is about to exit: the connection must not be used for another
	// request.
	leaving uint32 = 1<<32 - 1
)

var (
	errFrameTooLarge = errors.New("relay: frame too large")
	errAfterEnd      = errors.New("relay: bytes after the end")
)

// Decoder decodes the frames of one connection. Decode must not be called concurrently; the other
// methods may be.
type Decoder struct {
	header  [frameHeaderBytes]byte
	have    int // bytes of header
	left    int // bytes of the current frame that have not arrived
	ended   atomic.Bool
	leaving atomic.Bool
}

// Decode decodes the next received bytes and passes their content to deliver.
func (d *Decoder) Decode(data []byte, deliver func([]byte) error) error {
	for len(data) > 0 {
		if d.ended.Load() {
			return errAfterEnd
		}
		if d.left > 0 {
			n := min(d.left, len(data))
			d.left -= n
			if err := deliver(data[:n]); err != nil {
				return err
			}
			data = data[n:]
			continue
		}
		n := copy(d.header[d.have:], data)
		data = data[n:]
		if d.have += n; d.have < frameHeaderBytes {
			return nil
		}
		d.have = 0
		if err := d.startFrame(binary.BigEndian.Uint32(d.header[:])); err != nil {
			return err
		}
	}
	return nil
}

func (d *Decoder) startFrame(length uint32) error {
	switch {
	case length == endOfStream:
		d.ended.Store(true)
	case length == leaving:
		d.leaving.Store(true)
	case length > maxFrameBytes:
		return errFrameTooLarge
	default:
		d.left = int(length)
	}
	return nil
}

// Ended reports whether the upstream has closed the connection in an orderly way.
func (d *Decoder) Ended() bool { return d.ended.Load() }

// Leaving reports whether the peer has announced that it exits.
func (d *Decoder) Leaving() bool { return d.leaving.Load() }

// message returns a frame without bytes.
func message(code uint32) []byte { return binary.BigEndian.AppendUint32(nil, code) }
