package backoff

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxDuration is the longest backoff. If an upstream asks for more, requests are sent to it
// again after this time, so that a value in the wrong unit excludes it for no longer.
const MaxDuration = time.Hour

// ErrInvalidDuration is returned for a backoff that is not a valid number. Its text is written
// to the details of events.
var ErrInvalidDuration = errors.New("requested backoff is not a valid number")

// ParseSeconds parses a backoff in seconds, which may have a fraction. A value above
// MaxDuration is reduced to it, and an empty value asks for no backoff. Any other value that
// is not a number of at least 0 results in ErrInvalidDuration.
func ParseSeconds(value string) (time.Duration, error) { return parse(value, time.Second) }

// ParseMilliseconds is ParseSeconds for a value in milliseconds.
func ParseMilliseconds(value string) (time.Duration, error) { return parse(value, time.Millisecond) }

func parse(value string, unit time.Duration) (time.Duration, error) {
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
