package poison

import "time"

// An end is told to all hosts at once, so that the third one is known everywhere some
// milliseconds later. What is lost on the way, and what a host that starts has missed, is
// repeated while it counts.
const (
	// RepeatEvery is the pause between two repeats, and RepeatTo how many other hosts hear
	// one. Each host hears four a second: of those that missed an end, one in 50 does not
	// hear of it within a second.
	RepeatEvery = 500 * time.Millisecond
	RepeatTo    = 2
	// RepeatFor is how long an end that gets no request refused is repeated.
	RepeatFor = 5 * time.Second
)

// Draw returns up to n of a list, drawn by a function that returns a random number below
// the one it is given, and reorders the list: the hosts that hear a repeat, or the ends that
// fit one.
func Draw[T any](list []T, n int, random func(int) int) []T {
	n = min(n, len(list))
	for i := range n {
		j := i + random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
