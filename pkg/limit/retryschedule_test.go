package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/limit"
)

// TestAppointments checks that callers that are refused together retry one after another, at the
// rate at which there are slots.
func TestAppointments(t *testing.T) {
	is := is.New(t)
	var s limit.RetrySchedule
	now := time.Unix(1000, 0)
	for i := range 8 {
		is.Equal(s.Next(now, 300*time.Millisecond, 4), 300*time.Millisecond+time.Duration(i)*250*time.Millisecond)
	}
	is.Equal(s.Next(now.Add(time.Minute), time.Second, 4), time.Second) // all earlier slots have passed
	is.Equal(s.Next(now.Add(time.Hour), time.Hour, 4), limit.RetryAfterMax)
	is.Equal(s.Next(now.Add(time.Hour), 0, 1e-9), limit.RetryAfterMax)
}

// TestAppointmentsWithBorrowedSlots checks that recently borrowed slots shorten the interval
// between retries.
func TestAppointmentsWithBorrowedSlots(t *testing.T) {
	is := is.New(t)
	var s limit.RetrySchedule
	now := time.Unix(1000, 0)
	for range 30 { // ten slots a second
		now = now.Add(100 * time.Millisecond)
		s.RecordBorrowed(now)
	}
	first := s.Next(now, 0, 1)
	interval := s.Next(now, 0, 1) - first
	is.True(interval >= time.Second/12 && interval <= time.Second/10) // ten borrowed slots and one of its own
	now = now.Add(time.Minute)
	first = s.Next(now, 0, 1)
	is.Equal(s.Next(now, 0, 1)-first, time.Second)
}
