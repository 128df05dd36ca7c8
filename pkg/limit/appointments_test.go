package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/limit"
)

// TestAppointments: callers that are refused together come back one after another, as fast as
// there are turns.
func TestAppointments(t *testing.T) {
	is := is.New(t)
	var a limit.RetrySchedule
	now := time.Unix(1000, 0)
	for i := range 8 {
		is.Equal(a.Next(now, 300*time.Millisecond, 4), 300*time.Millisecond+time.Duration(i)*250*time.Millisecond)
	}
	is.Equal(a.Next(now.Add(time.Minute), time.Second, 4), time.Second) // all were kept
	is.Equal(a.Next(now.Add(time.Hour), time.Hour, 4), limit.RetryAfterMax)
	is.Equal(a.Next(now.Add(time.Hour), 0, 1e-9), limit.RetryAfterMax)
}

// TestAppointmentsWithBorrowedTurns: a host that was lent turns has more than its own.
func TestAppointmentsWithBorrowedTurns(t *testing.T) {
	is := is.New(t)
	var a limit.RetrySchedule
	now := time.Unix(1000, 0)
	for range 30 { // ten a second
		now = now.Add(100 * time.Millisecond)
		a.RecordBorrowed(now)
	}
	first := a.Next(now, 0, 1)
	apart := a.Next(now, 0, 1) - first
	is.True(apart >= time.Second/12 && apart <= time.Second/10) // ten, and its own
	now = now.Add(time.Minute)
	first = a.Next(now, 0, 1)
	is.Equal(a.Next(now, 0, 1)-first, time.Second)
}
