// Package gossip holds the parameters shared by all updates that a host sends to all others at
// once and then repeats to a few random hosts, for those that missed them because a message was
// lost or because they started later.
//
// The package does no I/O, reads no clock and has no randomness of its own.
package gossip

import "time"

const (
	// RepeatInterval is the pause between two repeats, and RepeatFanOut the number of other hosts
	// that receive each. Every host receives four repeats a second on average: of the hosts that
	// missed an update, one in 50 does not receive it within a second.
	RepeatInterval = 500 * time.Millisecond
	RepeatFanOut   = 2
)

// Sample returns up to n random elements of a list, which it reorders: the receivers of a repeat,
// or the updates that fit into one. The argument random returns a random number below its argument.
func Sample[T any](list []T, n int, random func(int) int) []T {
	n = min(n, len(list))
	for i := range n {
		j := i + random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
