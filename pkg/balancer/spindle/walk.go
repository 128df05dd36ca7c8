package spindle

import "github.com/dapplespindle/dapplespindle/pkg/balancer"

// walk visits each number below n once, in a pseudo-random order: it starts at a random
// number and advances by a random step that is coprime with n.
type walk struct {
	n, at, step uint64
}

func newWalk(n, random uint64) walk {
	random = balancer.Mix(random)
	at := random % n
	step := random/n%n | 1
	for gcd(step, n) != 1 {
		step += 2
	}
	return walk{n: n, at: at, step: step}
}

// next returns the next number.
func (w *walk) next() uint64 {
	at := w.at
	w.at = (w.at + w.step) % w.n
	return at
}

func gcd(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
