package ratelimit

import (
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidLimit means that a limit is no number of requests a second.
var ErrInvalidLimit = errors.New("limit is no number of requests a second")

// Kind is what an answer says of the upstream's limit.
type Kind uint8

const (
	// Unspecified says nothing: the answer may not be the upstream's own word.
	Unspecified Kind = iota
	// Unlimited says that the upstream names no limit, or no longer.
	Unlimited
	// Limited names a limit.
	Limited
)

// Limit is what one answer says of the limit of the upstream that gave it.
type Limit struct {
	// Kind is what it says.
	Kind Kind
	// PerSecond is the limit, in requests a second of all hosts together.
	PerSecond float64
}

// MaxPerSecond bounds a limit; upstreams that take more are as good as unlimited.
const MaxPerSecond = 1e6

// Parse reads a limit as upstreams write it, a decimal number of requests a second. An
// empty value names none; one that is not a number from 0 on is ErrInvalidLimit, and says
// nothing.
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
