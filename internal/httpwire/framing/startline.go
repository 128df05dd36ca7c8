package framing

import (
	"bytes"
	"strconv"
)

// methods are the supported methods. CONNECT and TRACE are not supported: the first
// requests a tunnel, the second an echo of the headers.
var methods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true,
	"DELETE": true, "PATCH": true, "OPTIONS": true,
}

const versionPrefix = "HTTP/1."

func (s *Scanner) parseVersion(b []byte) *Error {
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
	if !targetChars.containsAll(target) {
		return malformed("malformed request target")
	}
	asterisk := string(target) == "*" && string(line[:first]) == "OPTIONS"
	if !asterisk && (len(target) == 0 || target[0] != '/') {
		return malformed("request target is not a path")
	}
	return s.parseVersion(line[last+1:])
}

const (
	statusDigits             = 3
	statusOffset             = len("HTTP/1.1 ")
	reasonOffset             = statusOffset + statusDigits
	minStatus                = 100
	maxStatus                = 599
	statusSwitchingProtocols = 101
)

// responseLine checks "HTTP/1.x NNN reason".
func (s *Scanner) responseLine(line []byte) *Error {
	if len(line) < reasonOffset || line[statusOffset-1] != ' ' || !valueChars.containsAll(line) {
		return malformed("malformed status line")
	}
	if err := s.parseVersion(line[:statusOffset-1]); err != nil {
		return err
	}
	code := line[statusOffset:reasonOffset]
	if !digitChars.containsAll(code) || len(line) > reasonOffset && line[reasonOffset] != ' ' {
		return malformed("malformed status line")
	}
	for _, c := range code {
		s.head.Status = s.head.Status*10 + int(c-'0')
	}
	if s.head.Status < minStatus || s.head.Status > maxStatus || s.head.Status == statusSwitchingProtocols {
		return malformed("status " + strconv.Itoa(s.head.Status) + " was not asked for")
	}
	s.replaceStatusLine(line)
	return nil
}

// replaceStatusLine sets a replacement for a status line that the parser would misread:
// if the reason phrase does not start with a letter, the parser continues into the
// headers.
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

// Bounds and codes of the statuses without a body: interim responses, 204 and 304.
const (
	minFinalStatus    = 200
	statusNoContent   = 204
	statusNotModified = 304
)

// hasNoBody reports whether the message is a response that ends with its head,
// whatever length it declares.
func (s *Scanner) hasNoBody() bool {
	switch s.kind {
	case kindRequest:
		return false
	case kindHeadResponse:
		return true
	default:
		return s.head.Status < minFinalStatus || s.head.Status == statusNoContent || s.head.Status == statusNotModified
	}
}
