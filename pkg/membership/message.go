package membership

import "net/netip"

// Message is one datagram between two entry hosts.
type Message struct {
	// From is the sender's news about itself; replies go to From.Address.
	From Entry
	// Updates are news about others.
	Updates []Entry
	// Body is the purpose of the message.
	Body Body
}

// Body is one of Ping, PingRequest, Ack, SyncRequest, SyncReply, SyncPush. A
// Sequence is random, and an answer repeats that of its question.
type Body interface{ body() }

// Ping asks for an Ack.
type Ping struct{ Sequence uint64 }

// PingRequest asks the receiver to ping Target and to pass on its Ack.
type PingRequest struct {
	// Sequence is the one that the passed-on Ack carries.
	Sequence uint64
	// Target is the member to ping.
	Target netip.AddrPort
}

// Ack answers the Ping or PingRequest with the same sequence.
type Ack struct{ Sequence uint64 }

// SyncRequest compares the members in one window of the address hash.
type SyncRequest struct {
	// Sequence is the one that the SyncReply carries.
	Sequence uint64
	// Window selects the members compared.
	Window Window
	// Digests holds one value per known member of the window: the upper 32
	// bits name the address, the lower ones digest the news about it.
	Digests []uint64
}

// SyncReply carries, in Updates, what differs at the answering side.
type SyncReply struct {
	// Sequence is that of the SyncRequest.
	Sequence uint64
	// Wanted are the upper halves of digests that the answering side lacks.
	Wanted []uint32
	// Members is how many members the answering side knows.
	Members uint32
}

// SyncPush carries, in Updates, what a SyncReply asked for.
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
	// Prefix is the common start, right-aligned.
	Prefix uint32
}

// MaxWindowBits bounds Window.Bits.
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
