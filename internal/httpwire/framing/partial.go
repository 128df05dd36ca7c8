package framing

import "bytes"

// checkPartial checks the line at pos of a response that has not been received completely. A
// response that can no longer become a valid one is refused at once: its sender may never end
// the line.
func (s *Scanner) checkPartial(buf []byte) *Error {
	line := bytes.TrimSuffix(buf[s.pos:], []byte("\r"))
	if s.kind == kindRequest || len(line) == 0 {
		return nil
	}
	// The byte before may have been taken for the carriage return of the line's end.
	fresh := line[min(len(line), max(s.searched-1-s.pos, 0)):]
	if !valueChars.containsAll(fresh) {
		return malformed("control character in a line")
	}
	switch s.stage {
	case stageStartLine:
		if !startsStatusLine(line) {
			return malformed("malformed status line")
		}
	case stageChunkSize:
		if size, _, _ := bytes.Cut(line, []byte(";")); len(size) > maxChunkDigits || !hexChars.containsAll(size) {
			return malformed("malformed chunk size")
		}
	default:
		if bytes.IndexByte(line, ':') < 0 && !tokenChars.containsAll(fresh) {
			return malformed("malformed header name")
		}
	}
	return nil
}

// startsStatusLine reports whether line may be the beginning of "HTTP/1.x NNN reason".
func startsStatusLine(line []byte) bool {
	if n := min(len(line), len(versionPrefix)); string(line[:n]) != versionPrefix[:n] {
		return false
	}
	for i := len(versionPrefix); i < min(len(line), reasonOffset+1); i++ {
		var ok bool
		switch {
		case i == len(versionPrefix):
			ok = line[i] == '0' || line[i] == '1'
		case i == statusOffset-1 || i == reasonOffset:
			ok = line[i] == ' '
		default:
			ok = digitChars[line[i]]
		}
		if !ok {
			return false
		}
	}
	return true
}
