package framing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var testLimits = Limits{HeadBytes: 1 << 10, BodyBytes: 64}

const host = "Host: a\r\n"

// invalidRequests are requests that two implementations could frame differently, or
// that exceed a limit.
var invalidRequests = map[string]struct {
	message string
	fault   Fault
}{
	"length and encoding":     {"POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", Malformed},
	"two lengths":             {"POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", Malformed},
	"same length twice":       {"POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", Malformed},
	"list of lengths":         {"POST / HTTP/1.1\r\n" + host + "Content-Length: 3, 3\r\n\r\n", Malformed},
	"signed length":           {"POST / HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\n", Malformed},
	"negative length":         {"POST / HTTP/1.1\r\n" + host + "Content-Length: -3\r\n\r\n", Malformed},
	"hex length":              {"POST / HTTP/1.1\r\n" + host + "Content-Length: 0x3\r\n\r\n", Malformed},
	"empty length":            {"POST / HTTP/1.1\r\n" + host + "Content-Length:\r\n\r\n", Malformed},
	"huge length":             {"POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999\r\n\r\n", Malformed},
	"space before colon":      {"GET / HTTP/1.1\r\n" + host + "X : y\r\n\r\n", Malformed},
	"tab before colon":        {"GET / HTTP/1.1\r\n" + host + "X\t: y\r\n\r\n", Malformed},
	"empty name":              {"GET / HTTP/1.1\r\n" + host + ": y\r\n\r\n", Malformed},
	"no colon":                {"GET / HTTP/1.1\r\n" + host + "X\r\n\r\n", Malformed},
	"no host":                 {"GET / HTTP/1.1\r\n\r\n", Malformed},
	"empty host":              {"GET / HTTP/1.1\r\nHost:\r\n\r\n", Malformed},
	"host with path":          {"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", Malformed},
	"two hosts":               {"GET / HTTP/1.1\r\n" + host + host + "\r\n", Malformed},
	"two hosts in 1.0":        {"GET / HTTP/1.0\r\n" + host + host + "\r\n", Malformed},
	"folded header":           {"GET / HTTP/1.1\r\n" + host + "X: y\r\n z\r\n\r\n", Malformed},
	"folded first header":     {"GET / HTTP/1.1\r\n X: y\r\n" + host + "\r\n", Malformed},
	"bare line feed":          {"GET / HTTP/1.1\n" + host + "\r\n", Malformed},
	"bare line feed in head":  {"GET / HTTP/1.1\r\n" + host + "X: y\nZ: z\r\n\r\n", Malformed},
	"bare line feed at end":   {"GET / HTTP/1.1\r\n" + host + "\n", Malformed},
	"bare carriage return":    {"GET / HTTP/1.1\r\n" + host + "X: y\rZ: z\r\n\r\n", Malformed},
	"null in value":           {"GET / HTTP/1.1\r\n" + host + "X: \x00\r\n\r\n", Malformed},
	"escape in value":         {"GET / HTTP/1.1\r\n" + host + "X: \x1b\r\n\r\n", Malformed},
	"delete in value":         {"GET / HTTP/1.1\r\n" + host + "X: \x7f\r\n\r\n", Malformed},
	"control in target":       {"GET /\x01 HTTP/1.1\r\n" + host + "\r\n", Malformed},
	"fragment in target":      {"GET /#a HTTP/1.1\r\n" + host + "\r\n", Malformed},
	"non-ASCII target":        {"GET /\xc3\xa9 HTTP/1.1\r\n" + host + "\r\n", Malformed},
	"two spaces":              {"GET  / HTTP/1.1\r\n" + host + "\r\n", Malformed},
	"space in target":         {"GET /a b HTTP/1.1\r\n" + host + "\r\n", Malformed},
	"empty line first":        {"\r\nGET / HTTP/1.1\r\n" + host + "\r\n", Malformed},
	"unknown encoding":        {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n", Malformed},
	"obfuscated encoding":     {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n", Malformed},
	"encoding identity":       {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: identity\r\n\r\n", Malformed},
	"two encodings":           {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", Malformed},
	"encoding in 1.0":         {"POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n", Malformed},
	"absolute form":           {"GET http://a/ HTTP/1.1\r\n" + host + "\r\n", Malformed},
	"authority form":          {"CONNECT a:80 HTTP/1.1\r\n" + host + "\r\n", Malformed},
	"trace":                   {"TRACE / HTTP/1.1\r\n" + host + "\r\n", Malformed},
	"asterisk without option": {"GET * HTTP/1.1\r\n" + host + "\r\n", Malformed},
	"lower-case method":       {"get / HTTP/1.1\r\n" + host + "\r\n", Malformed},
	"version 0.9":             {"GET /\r\n\r\n", Malformed},
	"version 1.2":             {"GET / HTTP/1.2\r\n" + host + "\r\n", Malformed},
	"version 2.0":             {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", Malformed},
	"lower-case version":      {"GET / http/1.1\r\n" + host + "\r\n", Malformed},
	"unknown expectation":     {"POST / HTTP/1.1\r\n" + host + "Expect: more\r\nContent-Length: 1\r\n\r\n", Malformed},
	"long head":               {"GET / HTTP/1.1\r\n" + host + "X: " + strings.Repeat("y", 1<<10) + "\r\n\r\n", HeadTooLarge},
	"long head without end":   {"GET / HTTP/1.1\r\n" + host + "X: " + strings.Repeat("y", 1<<10), HeadTooLarge},
	"long declared body":      {"POST / HTTP/1.1\r\n" + host + "Content-Length: 65\r\n\r\n", BodyTooLarge},
	"long chunk":              {chunked + "41\r\n", BodyTooLarge},
	"long chunks":             {chunked + "21\r\n" + strings.Repeat("x", 33) + "\r\n21\r\n", BodyTooLarge},
	"no chunk size":           {chunked + "\r\n", Malformed},
	"chunk size not hex":      {chunked + "g\r\n", Malformed},
	"chunk size with sign":    {chunked + "+1\r\n", Malformed},
	"chunk size with prefix":  {chunked + "0x1\r\n", Malformed},
	"chunk size with space":   {chunked + "1 \r\nx\r\n", Malformed},
	"chunk size overflow":     {chunked + "100000001\r\n", Malformed},
	"chunk size bare LF":      {chunked + "1\nx\r\n0\r\n\r\n", Malformed},
	"chunk too long":          {chunked + "1\r\nxy\r\n0\r\n\r\n", Malformed},
	"chunk end bare LF":       {chunked + "1\r\nx\n0\r\n\r\n", Malformed},
	"control in extension":    {chunked + "1;\x01\r\nx\r\n", Malformed},
	"long extension":          {chunked + "1;" + strings.Repeat("e", 300), Malformed},
	"malformed trailer":       {chunked + "0\r\nX y\r\n\r\n", Malformed},
	"long trailer":            {chunked + "0\r\nX: " + strings.Repeat("y", 1<<10), HeadTooLarge},
}

const chunked = "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n"

func TestInvalidRequestsAreRefused(t *testing.T) {
	for name, test := range invalidRequests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var whole, bytewise Scanner
			whole.ResetRequest(testLimits)
			_, err := whole.Scan([]byte(test.message))
			is.True(err != nil)
			is.Equal(err.Fault, test.fault)
			bytewise.ResetRequest(testLimits)
			is.Equal(scanBytewise(&bytewise, []byte(test.message)).Fault, test.fault)
		})
	}
}

func scanBytewise(s *Scanner, message []byte) *Error {
	for n := range len(message) {
		if done, err := s.Scan(message[:n+1]); err != nil || done {
			return err
		}
	}
	return nil
}

// validRequests are requests that must be accepted.
var validRequests = map[string]string{
	"no body":             "GET / HTTP/1.1\r\n" + host + "\r\n",
	"version 1.0":         "GET / HTTP/1.0\r\n\r\n",
	"options":             "OPTIONS * HTTP/1.1\r\n" + host + "\r\n",
	"sized":               "POST /a?b=c HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabc",
	"empty":               "POST / HTTP/1.1\r\n" + host + "Content-Length: 0\r\n\r\n",
	"space round length":  "POST / HTTP/1.1\r\n" + host + "Content-Length: \t3 \t\r\n\r\nabc",
	"chunked":             chunked + "1\r\nx\r\nA;e=f\r\n0123456789\r\n0\r\n\r\n",
	"chunked upper-case":  "POST / HTTP/1.1\r\n" + host + "TRANSFER-ENCODING: Chunked\r\n\r\n0\r\n\r\n",
	"trailers":            chunked + "1\r\nx\r\n0\r\nX: y\r\nZ: z\r\n\r\n",
	"announced trailers":  "POST / HTTP/1.1\r\n" + host + "Trailer: X\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n1\r\nx\r\n0\r\nX: y\r\n\r\n",
	"non-ASCII value":     "GET / HTTP/1.1\r\n" + host + "X: \xc3\xa9\ty\r\n\r\n",
	"host with port":      "GET / HTTP/1.1\r\nHost: [::1]:80\r\n\r\n",
	"leading zeros chunk": chunked + "0001\r\nx\r\n000\r\n\r\n",
}

func TestValidRequestsAreAccepted(t *testing.T) {
	for name, message := range validRequests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Scanner
			s.ResetRequest(testLimits)
			done, err := s.Scan([]byte(message + "G"))
			is.True(err == nil)
			is.True(done)
			is.Equal(s.End(), len(message))
			s.Restart()
			is.True(scanBytewise(&s, []byte(message)) == nil)
			is.Equal(s.End(), len(message))
		})
	}
}

// FuzzRequest checks that net/http accepts every request that the Scanner accepts,
// with the same end, body length and persistence.
func FuzzRequest(f *testing.F) {
	for _, message := range validRequests {
		f.Add([]byte(message + validRequests["sized"]))
	}
	for _, test := range invalidRequests {
		f.Add([]byte(test.message))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s Scanner
		s.ResetRequest(testLimits)
		done, err := s.Scan(data)
		if err != nil || !done {
			return
		}
		is := is.New(t)
		var again Scanner
		again.ResetRequest(testLimits)
		is.True(scanBytewise(&again, data) == nil)
		is.Equal(again.End(), s.End())
		compareWithNetHTTP(is, &s, data)
	})
}

func compareWithNetHTTP(is *is.I, s *Scanner, data []byte) {
	is.Helper()
	rest := bytes.NewReader(data)
	r := bufio.NewReader(rest)
	req, err := http.ReadRequest(r)
	is.NoErr(err)
	body, err := io.ReadAll(req.Body)
	is.NoErr(err)
	is.Equal(len(body), s.BodyBytes())
	is.Equal(len(data)-rest.Len()-r.Buffered(), s.End())
	is.Equal(req.Close, !s.Head().Persistent())
}

// FuzzResponse checks that net/http accepts every response that the Scanner accepts,
// with the same end, body length and status.
func FuzzResponse(f *testing.F) {
	for _, message := range responses {
		f.Add([]byte(message), false)
		f.Add([]byte(message), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		method := "GET"
		if head {
			method = "HEAD"
		}
		var s Scanner
		s.ResetResponse(method, testLimits)
		done, err := s.Scan(data)
		if err != nil || !done {
			return
		}
		is := is.New(t)
		rest := bytes.NewReader(data)
		r := bufio.NewReader(rest)
		resp, err2 := http.ReadResponse(r, &http.Request{Method: method})
		is.NoErr(err2)
		body, err2 := io.ReadAll(resp.Body)
		is.NoErr(err2)
		is.Equal(len(body), s.BodyBytes())
		is.Equal(resp.StatusCode, s.Head().Status)
		is.Equal(len(data)-rest.Len()-r.Buffered(), s.End())
	})
}

var responses = map[string]string{
	"sized":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"no reason":       "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
	"no space":        "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	"numeric reason":  "HTTP/1.1 200 1 2 3\r\nContent-Length: 2\r\n\r\nok",
	"chunked":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n",
	"no content":      "HTTP/1.1 204 No Content\r\n\r\n",
	"not modified":    "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
	"interim":         "HTTP/1.1 100 Continue\r\n\r\n",
	"undeclared end":  "HTTP/1.1 200 OK\r\n\r\nok",
	"both lengths":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
	"two lengths":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	"switching":       "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"bare line feeds": "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
}
