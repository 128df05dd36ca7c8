package framing

import "bytes"

const (
	// maxChunkDigits bounds a chunk size, leading zeros included.
	maxChunkDigits = 8
	// maxChunkLine bounds a chunk size line, extensions included, in bytes.
	maxChunkLine = 256
)

// chunkLine examines a line "size[;extensions]".
func (s *Scanner) chunkLine(buf []byte) (bool, *Error) {
	start := s.pos
	line, ok, err := s.line(buf)
	if err != nil {
		return false, err
	}
	if !ok {
		if len(buf)-start > maxChunkLine {
			return false, malformed("chunk size line too long")
		}
		return false, nil
	}
	if len(line) > maxChunkLine {
		return false, malformed("chunk size line too long")
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return false, err
	}
	return true, s.startChunk(size)
}

func (s *Scanner) startChunk(size int) *Error {
	if size == 0 {
		s.trailerStart = s.pos
		s.stage = stageTrailer
		return nil
	}
	encoded := s.pos - s.head.Bytes + size
	if s.body+size > s.limits.BodyBytes || encoded > chunkedOverhead*s.limits.BodyBytes+maxChunkLine {
		return &Error{BodyTooLarge, "chunked body over the limit"}
	}
	s.chunkSize = size
	s.stage = stageChunkData
	return nil
}

func parseChunkSize(line []byte) (int, *Error) {
	hex := line
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		hex = line[:i]
		if !valueChars.containsAll(line[i:]) {
			return 0, malformed("control character in a chunk extension")
		}
	}
	if len(hex) == 0 || len(hex) > maxChunkDigits {
		return 0, malformed("malformed chunk size")
	}
	size := 0
	for _, c := range hex {
		digit, ok := hexDigit(c)
		if !ok {
			return 0, malformed("malformed chunk size")
		}
		size = size<<4 | digit
	}
	return size, nil
}

func hexDigit(c byte) (int, bool) {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10, true
	}
	return 0, false
}

// chunkData skips the data of a chunk and the CRLF that ends it.
func (s *Scanner) chunkData(buf []byte) (bool, *Error) {
	end := s.pos + s.chunkSize
	if len(buf) > end && buf[end] != '\r' {
		return false, malformed("chunk without its end")
	}
	if len(buf) < end+2 {
		return false, nil
	}
	if buf[end+1] != '\n' {
		return false, malformed("chunk without its end")
	}
	s.pos = end + 2
	s.body += s.chunkSize
	s.stage = stageChunkSize
	return true, nil
}

// trailerLine checks one line of the trailer section. Trailers are dropped: the
// parser gets an empty trailer section.
func (s *Scanner) trailerLine(buf []byte) (bool, *Error) {
	start := s.pos
	line, ok, err := s.line(buf)
	if err != nil {
		return false, err
	}
	if len(buf)-s.trailerStart > s.limits.HeadBytes && (!ok || s.pos-s.trailerStart > s.limits.HeadBytes) {
		return false, &Error{HeadTooLarge, "trailers over the limit"}
	}
	if !ok {
		return false, nil
	}
	if len(line) == 0 {
		if start > s.trailerStart {
			s.omitted = append(s.omitted, span{s.trailerStart, start})
		}
		s.stage = stageDone
		return true, nil
	}
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !tokenChars.containsAll(line[:colon]) || !valueChars.containsAll(line[colon+1:]) {
		return false, malformed("malformed trailer")
	}
	return true, nil
}
