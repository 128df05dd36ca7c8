package ratelimit_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/ratelimit"
)

func TestParse(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]ratelimit.Limit{
		"":      {Kind: ratelimit.Unlimited},
		" ":     {Kind: ratelimit.Unlimited},
		"0":     {Kind: ratelimit.Limited},
		"1.2":   {Kind: ratelimit.Limited, PerSecond: 1.2},
		" 25 ":  {Kind: ratelimit.Limited, PerSecond: 25},
		"0.04":  {Kind: ratelimit.Limited, PerSecond: 0.04},
		"2e2":   {Kind: ratelimit.Limited, PerSecond: 200},
		"1e300": {Kind: ratelimit.Limited, PerSecond: ratelimit.MaxPerSecond},
	} {
		got, err := ratelimit.Parse(value)
		is.NoErr(err)
		is.Equal(got, want)
	}
	for _, value := range []string{"-1", "few", "NaN", "inf", "1e999", "3/s", "1,5", "2 3"} {
		got, err := ratelimit.Parse(value)
		is.True(errors.Is(err, ratelimit.ErrInvalidLimit))
		is.Equal(got, ratelimit.Limit{})
	}
}
