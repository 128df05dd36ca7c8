package framing

import "strings"

// charset is a set of bytes.
type charset [256]bool

func charsetOf(chars string) *charset {
	var set charset
	for i := range len(chars) {
		set[chars[i]] = true
	}
	return &set
}

// containsAll reports whether every byte of b is in the set.
func (set *charset) containsAll(b []byte) bool {
	for _, c := range b {
		if !set[c] {
			return false
		}
	}
	return true
}

const (
	digits  = "0123456789"
	letters = "abcdefghijklmnopqrstuvwxyz" + "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
)

var (
	digitChars = charsetOf(digits)
	hexChars   = charsetOf(digits + "abcdefABCDEF")
	// tokenChars are allowed in a header name.
	tokenChars = charsetOf(digits + letters + "!#$%&'*+-.^_`|~")
	// hostChars are allowed in a Host header: names, IP literals and a port.
	hostChars = charsetOf(digits + letters + "-._~!$&'()*+;=:[]%")
	// valueChars are allowed in a header value: no control character except tab.
	valueChars = charsetOf("\t" + charRange(0x20, 0x7e) + charRange(0x80, 0xff))
	// targetChars are allowed in a request target.
	targetChars = charsetOf(strings.ReplaceAll(charRange(0x21, 0x7e), "#", ""))
)

func charRange(from, to int) string {
	b := make([]byte, 0, to-from+1)
	for c := from; c <= to; c++ {
		b = append(b, byte(c))
	}
	return string(b)
}

// equalFold reports whether b equals s, ignoring the case of b. s must be in lower case.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != s[i] {
			return false
		}
	}
	return true
}
