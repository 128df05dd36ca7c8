// Package atmostonce guarantees at-most-once execution of non-repeatable requests
// across a fleet of equal entry hosts that have neither shared nor persistent
// storage.
//
// A Ticket names the only process that may execute it: the peer address of its
// issuer, the incarnation of that process, and a sequence number. Only the
// issuer can verify a ticket, with a secret that exists as long as the process.
// Every other host forwards the request to the issuer. If the issuer is gone,
// no host executes the ticket and the outcome is reported as "unknown".
//
// A Ledger is the issuer's record of its tickets, with one slot for each. The
// slot is reserved when the ticket is issued, so that a ticket can always be
// bound to a request, invalidated or answered without further memory, and no
// record has to be evicted early. At-most-once execution depends on the sequence
// numbers alone. Clocks decide only when a slot is reused, and a ticket whose
// slot was reused is never executed.
//
// The package reads no clock, starts no goroutine and uses no randomness. A
// Ledger is not safe for concurrent use; a Sealer is.
package atmostonce
