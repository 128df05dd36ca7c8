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

// MaxTicketLength bounds the text of a ticket, in bytes.
const MaxTicketLength = 128

const (
	ticketVersion = 1
	macBytes      = 16
	fixedBytes    = 1 + 8 + 8
)

var encoding = base64.RawURLEncoding.Strict()

// ErrMalformed is returned for a text that is not a ticket. Such a text was
// never issued, so nothing ran under it.
var ErrMalformed = errors.New("malformed ticket")

// Secret signs the tickets of one incarnation. It is random and never leaves
// the process, except to the one successor of a planned stop.
type Secret [SecretBytes]byte

// Incarnation identifies one life of a process. It is random.
type Incarnation uint64

// Ticket is the right to execute one request once.
type Ticket struct {
	// Issuer is the peer address of the entry host that issued it.
	Issuer netip.AddrPort
	// Incarnation is the life of the process that issued it.
	Incarnation Incarnation
	// Sequence counts the tickets of the incarnation, from 0.
	Sequence uint64

	mac [macBytes]byte
}

// ParseTicket decodes a text without verifying who issued it. It returns
// ErrMalformed unless the text is exactly what a Sealer writes.
func ParseTicket(text string) (Ticket, error) {
	if len(text) > MaxTicketLength {
		return Ticket{}, ErrMalformed
	}
	b, err := encoding.DecodeString(text)
	if err != nil || len(b) <= fixedBytes+macBytes || b[0] != ticketVersion {
		return Ticket{}, ErrMalformed
	}
	var t Ticket
	t.Incarnation = Incarnation(binary.BigEndian.Uint64(b[1:]))
	t.Sequence = binary.BigEndian.Uint64(b[9:])
	if err := t.Issuer.UnmarshalBinary(b[fixedBytes : len(b)-macBytes]); err != nil || !t.Issuer.IsValid() {
		return Ticket{}, ErrMalformed
	}
	copy(t.mac[:], b[len(b)-macBytes:])
	if t.String() != text {
		return Ticket{}, ErrMalformed
	}
	return t, nil
}

// String returns the text of the ticket for a header.
func (t Ticket) String() string {
	return encoding.EncodeToString(append(t.signed(), t.mac[:]...))
}

// signed returns the part that the MAC covers.
func (t Ticket) signed() []byte {
	b := make([]byte, 0, MaxTicketLength)
	b = append(b, ticketVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Incarnation))
	b = binary.BigEndian.AppendUint64(b, t.Sequence)
	address, _ := t.Issuer.MarshalBinary() // never fails
	return append(b, address...)
}

// Sealer writes and verifies the tickets of one incarnation. It is immutable
// and safe for concurrent use.
type Sealer struct {
	issuer      netip.AddrPort
	incarnation Incarnation
	secret      Secret
}

// NewSealer returns the sealer of one process. Incarnation and secret must be
// random and new at each start.
func NewSealer(issuer netip.AddrPort, incarnation Incarnation, secret Secret) *Sealer {
	return &Sealer{issuer: issuer, incarnation: incarnation, secret: secret}
}

// Issuer returns the peer address that the tickets name.
func (s *Sealer) Issuer() netip.AddrPort { return s.issuer }

// Incarnation returns the incarnation that the tickets name.
func (s *Sealer) Incarnation() Incarnation { return s.incarnation }

// Secret returns the secret, for the one successor of a planned stop.
func (s *Sealer) Secret() Secret { return s.secret }

// Seal returns the signed ticket with a sequence number.
func (s *Sealer) Seal(sequence uint64) Ticket {
	t := Ticket{Issuer: s.issuer, Incarnation: s.incarnation, Sequence: sequence}
	t.mac = s.sign(t)
	return t
}

// Owner says who may execute a ticket.
type Owner uint8

// The owners.
const (
	// Local tickets were issued by this incarnation.
	Local Owner = iota
	// Forged tickets claim this incarnation and were never issued.
	Forged
	// OtherIncarnation tickets name an earlier or later incarnation at this address. Nobody executes them.
	OtherIncarnation
	// OtherHost tickets name another address and are forwarded there.
	OtherHost
)

// Owner verifies t.
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
	_, _ = h.Write(t.signed()) // never fails
	copy(mac[:], h.Sum(nil))
	return mac
}
