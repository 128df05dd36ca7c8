package framing

import (
	"bytes"
	"strconv"
)

// header checks one header line and records what is relevant to framing.
func (s *Scanner) header(line []byte, at span) *Error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !tokenChars.containsAll(line[:colon]) {
		return malformed("malformed header name")
	}
	value := line[colon+1:]
	if !valueChars.containsAll(value) {
		return malformed("control character in a header value")
	}
	value = bytes.Trim(value, " \t")
	name := line[:colon]
	switch {
	case equalFold(name, "content-length"):
		return s.contentLength(value, at)
	case equalFold(name, "transfer-encoding"):
		return s.transferEncoding(value, at)
	case equalFold(name, "trailer"):
		s.omitted = append(s.omitted, at)
	case equalFold(name, "connection"):
		s.connection(value)
	case equalFold(name, "keep-alive"):
		s.head.KeepAliveSeconds = keepAliveTimeout(value)
	case s.kind != kindRequest:
	case equalFold(name, "host"):
		return s.host(value)
	case equalFold(name, "expect"):
		return s.expect(value)
	}
	return nil
}

// maxContentLengthDigits ensures that a Content-Length fits an int64.
const maxContentLengthDigits = 18

func (s *Scanner) contentLength(value []byte, at span) *Error {
	if s.head.ContentLength >= 0 {
		return malformed("more than one Content-Length")
	}
	if len(value) == 0 || len(value) > maxContentLengthDigits || !digitChars.containsAll(value) {
		return malformed("malformed Content-Length")
	}
	n := int64(0)
	for _, c := range value {
		n = n*10 + int64(c-'0')
	}
	s.head.ContentLength = n
	s.omitIfNoBody(at)
	return nil
}

func (s *Scanner) transferEncoding(value []byte, at span) *Error {
	if s.head.Chunked {
		return malformed("more than one Transfer-Encoding")
	}
	if !equalFold(value, "chunked") {
		return malformed("unknown Transfer-Encoding")
	}
	s.head.Chunked = true
	s.omitIfNoBody(at)
	return nil
}

// omitIfNoBody hides the header line at the given span from the parser if the message
// has no body: the parser would wait for one.
func (s *Scanner) omitIfNoBody(at span) {
	if s.hasNoBody() {
		s.omitted = append(s.omitted, at)
	}
}

func (s *Scanner) connection(value []byte) {
	for option := range bytes.SplitSeq(value, []byte(",")) {
		option = bytes.Trim(option, " \t")
		switch {
		case equalFold(option, "close"):
			s.head.Close = true
		case equalFold(option, "keep-alive"):
			s.head.KeepAlive = true
		}
	}
}

func (s *Scanner) host(value []byte) *Error {
	s.head.hostCount++
	if s.head.hostCount > 1 {
		return malformed("more than one Host header")
	}
	if len(value) == 0 || !hostChars.containsAll(value) {
		return malformed("malformed Host header")
	}
	return nil
}

func (s *Scanner) expect(value []byte) *Error {
	if !equalFold(value, "100-continue") {
		return malformed("unknown Expect header")
	}
	s.head.ExpectContinue = s.head.Minor == 1
	return nil
}

// keepAliveTimeout returns the seconds of "timeout=N", or 0. The value is only a hint,
// so malformed values are ignored.
func keepAliveTimeout(value []byte) int {
	for part := range bytes.SplitSeq(value, []byte(",")) {
		name, number, ok := bytes.Cut(bytes.Trim(part, " \t"), []byte("="))
		if !ok || !equalFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(string(number)); err == nil && seconds > 0 {
			return seconds
		}
	}
	return 0
}
