package framing

import "bytes"

// stage is the part of a message that is expected next.
type stage uint8

const (
	stageStartLine stage = iota
	stageHeader
	stageFixedLength
	stageChunkSize
	stageChunkData
	stageTrailer
	stageUntilClose
	stageDone
)

// Scanner finds the end of one message. The zero value is not usable; call
// ResetRequest or ResetResponse first. A Scanner is not safe for concurrent use.
type Scanner struct {
	limits Limits
	kind   kind
	stage  stage
	head   Head
	// pos is the offset of the first byte that has not been examined.
	pos int
	// searched is the offset up to which the buffer was searched for a line feed.
	searched int
	// body counts the decoded body bytes.
	body int
	// chunkSize is the size of the chunk at pos.
	chunkSize int
	// trailerStart is the offset of the trailer section.
	trailerStart int
	// omitted are the parts that Feed does not give to the parser.
	omitted []span
	// statusLine replaces a status line that the parser would misread; nil otherwise.
	statusLine []byte
}

// kind is the kind of message being scanned.
type kind uint8

const (
	kindRequest kind = iota
	kindResponse
	// kindHeadResponse is a response to HEAD, which has no body.
	kindHeadResponse
)

// span is a part of the message, as byte offsets.
type span struct{ from, to int }

// ResetRequest prepares s for a request.
func (s *Scanner) ResetRequest(limits Limits) { s.reset(kindRequest, limits) }

// ResetResponse prepares s for the response to a request with the given method.
func (s *Scanner) ResetResponse(method string, limits Limits) {
	k := kindResponse
	if method == "HEAD" {
		k = kindHeadResponse
	}
	s.reset(k, limits)
}

// Restart prepares s for another message of the same kind.
func (s *Scanner) Restart() { s.reset(s.kind, s.limits) }

func (s *Scanner) reset(k kind, limits Limits) {
	*s = Scanner{limits: limits, kind: k, omitted: s.omitted[:0]}
	s.head.ContentLength = -1
}

// Head returns what the head declares; it is complete once HeadDone returns true.
func (s *Scanner) Head() *Head { return &s.head }

// HeadDone reports whether the head has been received completely.
func (s *Scanner) HeadDone() bool { return s.stage > stageHeader }

// End returns the encoded size of the message in bytes, once Scan has found its end.
func (s *Scanner) End() int { return s.pos }

// BodyBytes returns the size of the decoded body, once Scan has found the end of the
// message.
func (s *Scanner) BodyBytes() int { return s.body }

// Scan examines buf, which must start with the first byte of the message and may have
// grown since the last call. It reports whether the message is complete.
func (s *Scanner) Scan(buf []byte) (bool, *Error) {
	for s.stage != stageDone {
		more, err := s.step(buf)
		if err != nil {
			return false, err
		}
		if !more {
			return false, nil
		}
	}
	return true, nil
}

// step examines one line or one run of body bytes. It returns false when buf ends
// before that is complete.
func (s *Scanner) step(buf []byte) (bool, *Error) {
	switch s.stage {
	case stageStartLine, stageHeader:
		return s.headLine(buf)
	case stageFixedLength:
		return s.fixedLengthBody(buf), nil
	case stageChunkSize:
		return s.chunkLine(buf)
	case stageChunkData:
		return s.chunkData(buf)
	case stageUntilClose:
		return false, s.untilClose(buf)
	default:
		return s.trailerLine(buf)
	}
}

// line returns the line at pos without its CRLF and advances pos past it.
func (s *Scanner) line(buf []byte) ([]byte, bool, *Error) {
	start := s.pos
	from := max(start, s.searched)
	i := bytes.IndexByte(buf[from:], '\n')
	if i < 0 {
		err := s.checkPartial(buf)
		s.searched = len(buf)
		return nil, false, err
	}
	end := from + i
	if end == start || buf[end-1] != '\r' {
		return nil, false, malformed("line feed without carriage return")
	}
	s.pos = end + 1
	return buf[start : end-1], true, nil
}

func (s *Scanner) headLine(buf []byte) (bool, *Error) {
	start := s.pos
	line, ok, err := s.line(buf)
	if err != nil {
		return false, err
	}
	if s.pos > s.limits.HeadBytes || !ok && len(buf) > s.limits.HeadBytes {
		return false, &Error{HeadTooLarge, "head over the limit"}
	}
	if !ok {
		return false, nil
	}
	switch {
	case s.stage == stageStartLine:
		s.stage = stageHeader
		return true, s.startLine(line)
	case len(line) == 0:
		s.head.Bytes = s.pos
		return true, s.endOfHead()
	default:
		return true, s.header(line, span{start, s.pos})
	}
}

func (s *Scanner) startLine(line []byte) *Error {
	if s.kind == kindRequest {
		return s.requestLine(line)
	}
	return s.responseLine(line)
}

// endOfHead checks the complete head and determines how the body is framed.
func (s *Scanner) endOfHead() *Error {
	if err := s.checkHead(); err != nil {
		return err
	}
	switch {
	case s.hasNoBody():
		s.stage = stageDone
	case s.head.Chunked:
		s.stage = stageChunkSize
	case s.head.ContentLength > 0:
		s.stage = stageFixedLength
	case s.head.ContentLength < 0 && s.kind != kindRequest:
		if s.head.Minor == 1 && s.head.KeepAlive {
			return malformed("answer whose end is not declared")
		}
		s.head.UntilClose = true
		s.stage = stageUntilClose
	default:
		s.stage = stageDone
	}
	return nil
}

func (s *Scanner) checkHead() *Error {
	h := &s.head
	switch {
	case s.kind == kindRequest && h.Minor == 1 && h.hostCount == 0:
		return malformed("no Host header")
	case h.Chunked && h.ContentLength >= 0:
		return malformed("Content-Length together with Transfer-Encoding")
	case h.Chunked && h.Minor == 0:
		return malformed("Transfer-Encoding in HTTP/1.0")
	case !s.hasNoBody() && h.ContentLength > int64(s.limits.BodyBytes):
		return &Error{BodyTooLarge, "declared body over the limit"}
	}
	return nil
}

// untilClose counts everything received as body; PeerClosed ends the message.
func (s *Scanner) untilClose(buf []byte) *Error {
	s.pos = len(buf)
	s.body = len(buf) - s.head.Bytes
	if s.body > s.limits.BodyBytes {
		return &Error{BodyTooLarge, "body without a length over the limit"}
	}
	return nil
}

// PeerClosed tells s that the peer has closed the connection in an orderly way. It
// reports whether that completes the message.
func (s *Scanner) PeerClosed() bool {
	if s.stage != stageUntilClose {
		return false
	}
	s.stage = stageDone
	return true
}

// fixedLengthBody skips a body of declared length.
func (s *Scanner) fixedLengthBody(buf []byte) bool {
	end := s.head.Bytes + int(s.head.ContentLength)
	if len(buf) < end {
		return false
	}
	s.pos = end
	s.body = int(s.head.ContentLength)
	s.stage = stageDone
	return true
}

// Feed gives the message in buf to parse, the HTTP library's parser, without the
// parts that the parser would misread. It stops at the first error.
func (s *Scanner) Feed(buf []byte, parse func([]byte) error) error {
	from := 0
	if s.statusLine != nil {
		if err := parse(s.statusLine); err != nil {
			return err
		}
		from = bytes.IndexByte(buf, '\n') + 1
	}
	for _, h := range s.omitted {
		if err := parse(buf[from:h.from]); err != nil {
			return err
		}
		from = h.to
	}
	return parse(buf[from:min(s.pos, len(buf))])
}
