package framing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var partialLimits = Limits{HeadBytes: 1 << 10, BodyBytes: 1 << 10}

// scanUntilDecided gives a response to a scanner byte by byte. It returns the number of bytes given when
// the scanner decided, and the error.
func scanUntilDecided(message string) (int, bool, *Error) {
	var s Scanner
	s.ResetResponse("GET", partialLimits)
	for n := 1; n <= len(message); n++ {
		if done, err := s.Scan([]byte(message[:n])); done || err != nil {
			return n, done, err
		}
	}
	return len(message), false, nil
}

// TestBytesThatAreNoAnswer guards against bytes that can't become a response and whose line never ends:
// they were buffered until the limit of the head or the deadline.
func TestBytesThatAreNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	for message, refusedAt := range map[string]int{
		"GARBAGE":                         1,
		"HTTP/2":                          6,
		"HTTP/1.1x":                       9,
		"HTTP/1.1 2x":                     11,
		"HTTP/1.1 2000":                   13,
		"HTTP/1.1 200 \x00":               14,
		"\x16\x03":                        1,
		head + "no header":                len(head) + 3,
		head + "a: b\x01":                 len(head) + 5,
		head + "a: b\rc":                  len(head) + 6,
		chunked + "xyz":                   len(chunked) + 1,
		chunked + "123456789":             len(chunked) + 9,
		chunked + "5;a=\x02":              len(chunked) + 5,
		chunked + "1\r\nab":               len(chunked) + 5,
		chunked + "0\r\nno trailer":       len(chunked) + 3 + 3,
		head + strings.Repeat("x", 2<<10): 1<<10 + 1,
		head + "a: " + strings.Repeat("x", 2<<10):   1<<10 + 1,
		chunked + "1;" + strings.Repeat("x", 2<<10): len(chunked) + maxChunkLine + 1,
	} {
		t.Run(message[:min(len(message), 40)], func(t *testing.T) {
			is := is.New(t)
			n, _, err := scanUntilDecided(message)
			is.True(err != nil)
			is.Equal(n, refusedAt)
		})
	}
}

// TestPartialCheckRefusesNoMore checks that a response that arrives byte by byte is refused if and only
// if it is when it arrives at once.
func TestPartialCheckRefusesNoMore(t *testing.T) {
	const rounds = 20_000
	pieces := []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200\r\n", "HTTP/1.1 503 \r\n", "HTTP/1.1 100 Continue\r\n\r\n", "Content-Length: 3\r\n",
		"Transfer-Encoding: chunked\r\n", "Connection: close\r\n", "A:b\r\n", "A: \xe4\t\r\n", "\r\n", "abc", "1\r\na\r\n", "2;x=\"y\"\r\nab\r\n",
		"0\r\n", "Trailer-A: b\r\n", "\r", "\n", " ", "\x00", ":", "a b: c\r\n"}
	random := rand.New(rand.NewPCG(68, 1))
	accepted := 0
	for range rounds {
		var b strings.Builder
		for range 1 + random.IntN(8) {
			b.WriteString(pieces[random.IntN(len(pieces))])
		}
		message := b.String()
		var whole Scanner
		whole.ResetResponse("GET", partialLimits)
		done, err := whole.Scan([]byte(message))
		_, bytewiseDone, bytewiseErr := scanUntilDecided(message)
		if done != bytewiseDone || done && err != nil {
			t.Fatalf("%q: done %v at once, %v byte by byte (%v, %v)", message, done, bytewiseDone, err, bytewiseErr)
		}
		if err != nil && bytewiseErr == nil {
			t.Fatalf("%q: refused at once only: %v", message, err)
		}
		if err == nil && bytewiseErr != nil && canBeCompleted(message) {
			t.Fatalf("%q: refused byte by byte, but it can be completed: %v", message, bytewiseErr)
		}
		if done {
			accepted++
		}
	}
	if accepted < rounds/100 {
		t.Errorf("only %d of %d drawn responses are complete", accepted, rounds)
	}
}

// canBeCompleted reports whether some end makes an incomplete response a valid one.
func canBeCompleted(message string) bool {
	for _, end := range []string{"\n", "\r\n", "\r\n\r\n", "\n\r\n", ": a\r\n\r\n", "a: b\r\n\r\n", "0 OK\r\n\r\n", "1\r\n\r\n", "0\r\n\r\n", "\r\n0\r\n\r\n", "\n0\r\n\r\n"} {
		for n := range 4 {
			var s Scanner
			s.ResetResponse("GET", partialLimits)
			if done, err := s.Scan([]byte(message + strings.Repeat("a", n) + end)); done && err == nil {
				return true
			}
		}
	}
	return false
}

// TestIncompleteResponseIsNotWhole guards against a response that breaks off and counts as whole: only a body
// without a length ends with its connection.
func TestIncompleteResponseIsNotWhole(t *testing.T) {
	for _, message := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX: y\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: u\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc",
		"HTTP/1.0 200 OK\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
	} {
		for n := range len(message) {
			t.Run(fmt.Sprintf("%q", message[:n]), func(t *testing.T) {
				is := is.New(t)
				rest := strings.TrimPrefix(message, "HTTP/1.1 100 Continue\r\n\r\n")
				cut := rest[:max(0, n-(len(message)-len(rest)))]
				var s Scanner
				s.ResetResponse("GET", partialLimits)
				done, err := s.Scan([]byte(cut))
				is.True(err == nil)
				is.True(!done)
				withoutLength := !strings.Contains(cut, "Content-Length") && !strings.Contains(cut, "chunked") && strings.Contains(cut, "\r\n\r\n")
				is.Equal(s.PeerClosed(), withoutLength)
			})
		}
	}
}
