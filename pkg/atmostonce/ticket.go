package atmostonce

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// SecretBytes is the length of a Secret, in bytes.
const SecretBytes = 32

// MaxTicketLength bounds the encoded length of a ticket, in bytes.
const MaxTicketLength = 128

const (
	ticketVersion = 1
	macBytes      = 16
	prefixBytes   = 1 + 8 + 8
)

var encoding = base64.RawURLEncoding.Strict()

// ErrMalformed is returned for a string that does not encode a ticket. Such a
// string was never issued, so no request was executed under it.
var ErrMalformed = errors.New("malformed ticket")

// Secret is the key that signs the tickets of one incarnation. It is random and
// never leaves the process, except when a graceful shutdown hands the tickets over
// to a successor.
type Secret [SecretBytes]byte

// Incarnation identifies one run of a process. It is random.
type Incarnation uint64

// Ticket authorizes the execution of one request, at most once.
type Ticket struct {
	// Issuer is the peer address of the entry host that issued it.
	Issuer netip.AddrPort
	// Incarnation identifies the run of the process that issued it.
	Incarnation Incarnation
	// Sequence numbers the tickets of the incarnation, starting at 0.
	Sequence uint64

	mac [macBytes]byte
}

// ParseTicket decodes a ticket without verifying its issuer. It returns
// ErrMalformed unless the text is the canonical encoding that Ticket.String
// returns.
func ParseTicket(text string) (Ticket, error) {
	if len(text) > MaxTicketLength {
		return Ticket{}, ErrMalformed
	}
	b, err := encoding.DecodeString(text)
	if err != nil || len(b) <= prefixBytes+macBytes || b[0] != ticketVersion {
		return Ticket{}, ErrMalformed
	}
	var t Ticket
	t.Incarnation = Incarnation(binary.BigEndian.Uint64(b[1:]))
	t.Sequence = binary.BigEndian.Uint64(b[9:])
	if err := t.Issuer.UnmarshalBinary(b[prefixBytes : len(b)-macBytes]); err != nil || !t.Issuer.IsValid() {
		return Ticket{}, ErrMalformed
	}
	copy(t.mac[:], b[len(b)-macBytes:])
	if t.String() != text {
		return Ticket{}, ErrMalformed
	}
	return t, nil
}

// String returns the encoded ticket for use in a header.
func (t Ticket) String() string {
	return encoding.EncodeToString(append(t.signedBytes(), t.mac[:]...))
}

// signedBytes returns the part of the encoding that the MAC covers.
func (t Ticket) signedBytes() []byte {
	b := make([]byte, 0, MaxTicketLength)
	b = append(b, ticketVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Incarnation))
	b = binary.BigEndian.AppendUint64(b, t.Sequence)
	address, _ := t.Issuer.MarshalBinary() // never fails
	return append(b, address...)
}

// Sealer signs and verifies the tickets of one incarnation. It is immutable and
// safe for concurrent use.
type Sealer struct {
	issuer      netip.AddrPort
	incarnation Incarnation
	secret      Secret
}

// NewSealer returns the sealer of one process. Incarnation and secret must be
// generated randomly at each start.
func NewSealer(issuer netip.AddrPort, incarnation Incarnation, secret Secret) *Sealer {
	return &Sealer{issuer: issuer, incarnation: incarnation, secret: secret}
}

// Issuer returns the peer address that the tickets name.
func (s *Sealer) Issuer() netip.AddrPort { return s.issuer }

// Incarnation returns the incarnation that the tickets name.
func (s *Sealer) Incarnation() Incarnation { return s.incarnation }

// Secret returns the signing key, for handing the tickets over to a successor in
// a graceful shutdown.
func (s *Sealer) Secret() Secret { return s.secret }

// Seal returns the signed ticket with the given sequence number.
func (s *Sealer) Seal(sequence uint64) Ticket {
	t := Ticket{Issuer: s.issuer, Incarnation: s.incarnation, Sequence: sequence}
	t.mac = s.sign(t)
	return t
}

// Owner classifies tickets by who may execute them.
type Owner uint8

// The values of Owner.
const (
	// Local tickets were issued by this incarnation.
	Local Owner = iota
	// Forged tickets name this incarnation, but it never issued them.
	Forged
	// OtherIncarnation tickets name another incarnation at this address. They are never executed.
	OtherIncarnation
	// OtherHost tickets name another address, to which the request is forwarded.
	OtherHost
)

// Owner verifies t and returns who may execute it.
func (s *Sealer) Owner(t Ticket) Owner {
	if t.Issuer != s.issuer {
		return OtherHost
	}
	if t.Incarnation != s.incarnation {
		return OtherIncarnation
	}
	mac := s.sign(t)
	if !hmac.Equal(mac[:], t.mac[:]) {
		return Forged
	}
	return Local
}

func (s *Sealer) sign(t Ticket) (mac [macBytes]byte) {
	h := hmac.New(sha256.New, s.secret[:])
	_, _ = h.Write(t.signedBytes()) // never fails
	copy(mac[:], h.Sum(nil))
	return mac
}
