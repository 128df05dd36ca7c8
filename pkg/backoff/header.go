package backoff

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxDuration bounds a rest. An upstream that asks for more is asked whether it serves again
// after that time: a figure in the wrong unit takes it away for no longer.
const MaxDuration = time.Hour

// ErrInvalidDuration means that a time of rest is no number of seconds.
var ErrInvalidDuration = errors.New("time of rest is no number of seconds")

// ParseSeconds reads a time of rest in seconds, fractions included, of at most MaxDuration. An empty
// value asks for none; any other that is not a number from 0 on is ErrInvalidDuration.
func ParseSeconds(value string) (time.Duration, error) { return read(value, time.Second) }

// ParseMilliseconds is ParseSeconds for a value in milliseconds.
func ParseMilliseconds(value string) (time.Duration, error) { return read(value, time.Millisecond) }

func read(value string, unit time.Duration) (time.Duration, error) {
	value = strings.TrimSpace(value)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return 0, ErrInvalidDuration
	}
	return time.Duration(min(n*float64(unit), float64(MaxDuration))), nil
}
