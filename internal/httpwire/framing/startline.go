package framing

import (
	"bytes"
	"strconv"
)

// methods are the methods that are served. CONNECT and TRACE are not: the
// first asks for a tunnel, the second for an echo of the headers.
var methods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true,
	"DELETE": true, "PATCH": true, "OPTIONS": true,
}

const versionPrefix = "HTTP/1."

func (s *Scanner) version(b []byte) *Error {
	if len(b) != len(versionPrefix)+1 || string(b[:len(versionPrefix)]) != versionPrefix {
		return malformed("unknown HTTP version")
	}
	minor := b[len(versionPrefix)]
	if minor != '0' && minor != '1' {
		return malformed("unknown HTTP version")
	}
	s.head.Minor = int(minor - '0')
	return nil
}

// requestLine checks "METHOD target HTTP/1.x" with single spaces.
func (s *Scanner) requestLine(line []byte) *Error {
	first := bytes.IndexByte(line, ' ')
	last := bytes.LastIndexByte(line, ' ')
	if first < 0 || first == last {
		return malformed("malformed request line")
	}
	if !methods[string(line[:first])] {
		return malformed("unknown method")
	}
	target := line[first+1 : last]
	if !targetChars.holds(target) {
		return malformed("malformed request target")
	}
	asterisk := string(target) == "*" && string(line[:first]) == "OPTIONS"
	if !asterisk && (len(target) == 0 || target[0] != '/') {
		return malformed("request target is not a path")
	}
	return s.version(line[last+1:])
}

const (
	statusDigits    = 3
	statusOffset    = len("HTTP/1.1 ")
	reasonOffset    = statusOffset + statusDigits
	lowestStatus    = 100
	highestStatus   = 599
	statusSwitching = 101
)

// responseLine checks "HTTP/1.x NNN reason".
func (s *Scanner) responseLine(line []byte) *Error {
	if len(line) < reasonOffset || line[statusOffset-1] != ' ' || !valueChars.holds(line) {
		return malformed("malformed status line")
	}
	if err := s.version(line[:statusOffset-1]); err != nil {
		return err
	}
	code := line[statusOffset:reasonOffset]
	if !digitChars.holds(code) || len(line) > reasonOffset && line[reasonOffset] != ' ' {
		return malformed("malformed status line")
	}
	for _, c := range code {
		s.head.Status = s.head.Status*10 + int(c-'0')
	}
	if s.head.Status < lowestStatus || s.head.Status > highestStatus || s.head.Status == statusSwitching {
		return malformed("status " + strconv.Itoa(s.head.Status) + " was not asked for")
	}
	s.replaceStatusLine(line)
	return nil
}

// replaceStatusLine stands in for a reason phrase that the parser misreads:
// it runs on into the headers when the phrase does not start with a letter.
func (s *Scanner) replaceStatusLine(line []byte) {
	if len(line) > reasonOffset+1 && isLetter(line[reasonOffset+1]) {
		return
	}
	s.statusLine = append(bytes.Clone(line[:reasonOffset]), " Status\r\n"...)
}

func isLetter(c byte) bool {
	c |= 'a' - 'A'
	return 'a' <= c && c <= 'z'
}

// Statuses whose answers have no body.
const (
	firstFinal        = 200
	statusNoContent   = 204
	statusNotModified = 304
)

// bodyless reports whether the answer ends with its head, whatever it declares.
func (s *Scanner) bodyless() bool {
	switch s.kind {
	case kindRequest:
		return false
	case kindHeadResponse:
		return true
	default:
		return s.head.Status < firstFinal || s.head.Status == statusNoContent || s.head.Status == statusNotModified
	}
}
