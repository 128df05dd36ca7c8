// Package atmostonce keeps non-repeatable actions single over a fleet of equal
// entry hosts that share no store and keep nothing.
//
// A Ticket names the one process that may execute it: the peer address of its
// issuer, the incarnation of that process, and a sequence number. The issuer
// alone can verify a ticket, with a secret that lives as long as the process.
// Every other host forwards a request to the issuer. When the issuer is gone
// nobody executes the ticket, and the answer is "unknown".
//
// A Ledger is the issuer's memory: one slot for each ticket that it issued.
// The slot is reserved when the ticket is issued, so that each ticket can be
// bound, burnt or answered without further room, and no record is dropped
// early. Single execution rests on the sequence numbers alone; clocks decide
// only when a slot is reused, and a ticket whose slot was reused never runs.
//
// The package reads no clock, starts no goroutine and draws no randomness. A
// Ledger is not safe for concurrent use; a Sealer is.
package atmostonce
