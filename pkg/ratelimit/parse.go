package ratelimit

import (
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidLimit is returned for a limit that is not a valid number of requests a second. Its
// text is written to the details of events.
var ErrInvalidLimit = errors.New("limit is not a valid number of requests per second")

// Kind is what a response announces about the limit of the upstream.
type Kind uint8

const (
	// Unspecified announces nothing: the response may not come from the upstream itself.
	Unspecified Kind = iota
	// Unlimited means that the upstream announces no limit, or no longer.
	Unlimited
	// Limited announces a limit.
	Limited
)

// Limit is what one response announces about the limit of its upstream.
type Limit struct {
	Kind Kind
	// PerSecond is the limit, in requests a second of all hosts together.
	PerSecond float64
}

// MaxPerSecond is the largest limit; upstreams that accept more are practically unlimited.
const MaxPerSecond = 1e6

// Parse parses a limit as upstreams write it, a decimal number of requests a second. An empty
// value announces no limit. A value that is not a number of at least 0 results in
// ErrInvalidLimit and the zero Limit, which announces nothing.
func Parse(value string) (Limit, error) {
	value = strings.TrimSpace(value)
	if value == "" {
		return Limit{Kind: Unlimited}, nil
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return Limit{}, ErrInvalidLimit
	}
	return Limit{Kind: Limited, PerSecond: min(n, MaxPerSecond)}, nil
}
