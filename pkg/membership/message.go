package membership

import "net/netip"

// Message is one datagram between two entry hosts.
type Message struct {
	// From is the sender's own entry; replies go to From.Address.
	From Entry
	// Updates are entries about other members.
	Updates []Entry
	// Body is the request or response that the message carries.
	Body Body
}

// Body is one of Ping, PingRequest, Ack, SyncRequest, SyncReply, SyncPush. A
// Sequence is random, and a response repeats that of its request.
type Body interface{ body() }

// Ping requests an Ack.
type Ping struct{ Sequence uint64 }

// PingRequest asks the receiver to ping Target and to forward its Ack.
type PingRequest struct {
	// Sequence is the sequence of the forwarded Ack.
	Sequence uint64
	// Target is the member to ping.
	Target netip.AddrPort
}

// Ack is the response to the Ping or PingRequest with the same sequence.
type Ack struct{ Sequence uint64 }

// SyncRequest asks a peer to compare the members in one window of the hash space.
type SyncRequest struct {
	// Sequence is the sequence of the SyncReply.
	Sequence uint64
	// Window selects the members to compare.
	Window Window
	// Digests holds one value per known member of the window: the upper 32
	// bits identify the address, the lower 32 bits are a digest of its entry.
	Digests []uint64
}

// SyncReply carries, in Updates, the entries that differ at the responder.
type SyncReply struct {
	// Sequence is that of the SyncRequest.
	Sequence uint64
	// Wanted are the upper halves of the digests whose members the responder
	// does not know.
	Wanted []uint32
	// Members is how many members the responder knows.
	Members uint32
}

// SyncPush carries, in Updates, entries that a SyncReply requested or that did
// not fit into one. It is also sent to announce that the sender leaves or stops.
// It needs no response.
type SyncPush struct{}

func (Ping) body()        {}
func (PingRequest) body() {}
func (Ack) body()         {}
func (SyncRequest) body() {}
func (SyncReply) body()   {}
func (SyncPush) body()    {}

// Window is the part of the hash space whose values start with Bits bits of
// Prefix.
type Window struct {
	// Bits is the length of Prefix, in bits; 0 is the whole space.
	Bits uint8
	// Prefix is the common prefix, right-aligned.
	Prefix uint32
}

// MaxWindowBits is the maximum of Window.Bits.
const MaxWindowBits = 20

func (w Window) contains(hash uint64) bool {
	return hash>>(64-uint(w.Bits)) == uint64(w.Prefix)
}

// first returns the smallest hash of the window.
func (w Window) first() uint64 {
	return uint64(w.Prefix) << (64 - uint(w.Bits))
}

// Envelope is a message to send.
type Envelope struct {
	// To is the receiver's address.
	To netip.AddrPort
	// Message is what to send.
	Message *Message
}
