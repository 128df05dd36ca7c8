// Package gossip has what news among hosts share that are told to all at once, and repeated
// to a few for those that missed them: on the way, or because they started later.
//
// The package does no I/O, reads no clock and draws no randomness of its own.
package gossip

import "time"

const (
	// RepeatInterval is the pause between two repeats, and RepeatFanOut how many other hosts hear
	// one. Each host hears four a second: of those that missed a piece of news, one in 50
	// does not hear of it within a second.
	RepeatInterval = 500 * time.Millisecond
	RepeatFanOut   = 2
)

// Sample returns up to n of a list, drawn by a function that returns a random number below
// the one it is given, and reorders the list: the hosts that hear a repeat, or the news that
// fit one.
func Sample[T any](list []T, n int, random func(int) int) []T {
	n = min(n, len(list))
	for i := range n {
		j := i + random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
