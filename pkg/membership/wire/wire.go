// Package wire encodes membership messages as datagrams and decodes them.
//
// A datagram consists of a version byte, a tag if keys are set, and a protobuf
// message. The tag is a truncated HMAC-SHA256 over the receiver's address and
// the message, so that a datagram can be neither altered nor redirected to
// another host. Replaying one to the same host is harmless: entries are ordered
// by incarnation, and a response is accepted only for an outstanding random
// sequence.
package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/netip"

	"google.golang.org/protobuf/proto"

	membershipv1 "github.com/dapplespindle/dapplespindle/api/membership/v1"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

const (
	// MaxDatagramBytes is the maximum size of a datagram; it fits an Ethernet
	// frame.
	MaxDatagramBytes = 1200
	// MinKeyBytes is the minimum length of a key.
	MinKeyBytes = 16

	versionPlain  = 1
	versionSigned = 2
	tagBytes      = 16
)

// Errors of the codec.
var (
	ErrDatagramTooLong = errors.New("datagram is longer than 1200 bytes")
	ErrUnauthenticated = errors.New("datagram is not signed by a known key")
	ErrMalformed       = errors.New("datagram is malformed")
	ErrKeyTooShort     = errors.New("key is shorter than 16 bytes")
)

// Codec encodes and decodes. It is safe for concurrent use.
type Codec struct {
	keys [][]byte
}

// NewCodec returns a codec. The first key signs and every key is accepted, so
// that keys can be rotated host by host. Without keys nothing is signed, and
// signed datagrams are rejected.
func NewCodec(keys [][]byte) (*Codec, error) {
	for _, k := range keys {
		if len(k) < MinKeyBytes {
			return nil, ErrKeyTooShort
		}
	}
	return &Codec{keys: keys}, nil
}

// Encode returns the datagram that carries m to the host at to.
func (c *Codec) Encode(to netip.AddrPort, m *membership.Message) ([]byte, error) {
	out := make([]byte, 1, 256)
	out[0] = versionPlain
	if len(c.keys) > 0 {
		out[0] = versionSigned
		out = out[:1+tagBytes]
	}
	payloadStart := len(out)
	out, err := proto.MarshalOptions{}.MarshalAppend(out, toProto(m))
	if err != nil {
		return nil, err
	}
	if len(out) > MaxDatagramBytes {
		return nil, ErrDatagramTooLong
	}
	if len(c.keys) > 0 {
		copy(out[1:], tag(c.keys[0], to, out[payloadStart:]))
	}
	return out, nil
}

// Decode returns the message in a datagram received by the host at self.
func (c *Codec) Decode(self netip.AddrPort, datagram []byte) (*membership.Message, error) {
	if len(datagram) > MaxDatagramBytes {
		return nil, ErrDatagramTooLong
	}
	payload, err := c.authenticate(self, datagram)
	if err != nil {
		return nil, err
	}
	var d membershipv1.Datagram
	if err := proto.Unmarshal(payload, &d); err != nil {
		return nil, ErrMalformed
	}
	return fromProto(&d)
}

// authenticate checks the version and the tag and returns the payload.
func (c *Codec) authenticate(self netip.AddrPort, datagram []byte) ([]byte, error) {
	if len(c.keys) == 0 {
		if len(datagram) < 1 || datagram[0] != versionPlain {
			return nil, ErrMalformed
		}
		return datagram[1:], nil
	}
	if len(datagram) < 1+tagBytes || datagram[0] != versionSigned {
		return nil, ErrUnauthenticated
	}
	payload := datagram[1+tagBytes:]
	for _, k := range c.keys {
		if hmac.Equal(datagram[1:1+tagBytes], tag(k, self, payload)) {
			return payload, nil
		}
	}
	return nil, ErrUnauthenticated
}

func tag(key []byte, to netip.AddrPort, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(addressBytes(to))
	h.Write(payload)
	return h.Sum(nil)[:tagBytes]
}

func addressBytes(a netip.AddrPort) []byte {
	return binary.BigEndian.AppendUint16(a.Addr().Unmap().AsSlice(), a.Port())
}

func parseAddress(b []byte) (netip.AddrPort, bool) {
	if len(b) < 2 {
		return netip.AddrPort{}, false
	}
	ip, ok := netip.AddrFromSlice(b[:len(b)-2])
	return netip.AddrPortFrom(ip.Unmap(), binary.BigEndian.Uint16(b[len(b)-2:])), ok
}
