package backoff_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/backoff"
)

func TestParseSeconds(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]time.Duration{
		"":             0,
		"0":            0,
		"3":            3 * time.Second,
		" 3 ":          3 * time.Second,
		"0.25":         250 * time.Millisecond,
		"2.5":          2500 * time.Millisecond,
		"0.0000000001": 0,
		"3600":         time.Hour,
		"86400":        backoff.MaxDuration,
		"1e300":        backoff.MaxDuration,
	} {
		got, err := backoff.ParseSeconds(value)
		is.NoErr(err)
		is.Equal(got, want)
	}
	for _, value := range []string{"-1", "soon", "NaN", "inf", "1e999", "3 s", "1,5", "Fri, 31 Dec 2027 23:59:59 GMT"} {
		_, err := backoff.ParseSeconds(value)
		is.True(errors.Is(err, backoff.ErrInvalidDuration))
	}
}

func TestParseMilliseconds(t *testing.T) {
	is := is.New(t)
	got, err := backoff.ParseMilliseconds("1500")
	is.NoErr(err)
	is.Equal(got, 1500*time.Millisecond)
}
