package httpwire

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
)

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// writeResponse writes resp in one call, sized, with its connection header.
func writeResponse(w io.Writer, req *Request, resp *Response) error {
	buf := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(buf)
	buf.Reset()
	buf.WriteString("HTTP/1.1 ")
	buf.WriteString(strconv.Itoa(resp.Status))
	buf.WriteByte(' ')
	buf.WriteString(http.StatusText(resp.Status))
	buf.WriteString("\r\n")
	writeHeader(buf, resp.Header)
	if !req.keepAlive {
		buf.WriteString("Connection: close\r\n")
	}
	writeLength(buf, req, resp)
	buf.WriteString("\r\n")
	if req.Method != http.MethodHead {
		buf.Write(resp.Body)
	}
	_, err := w.Write(buf.Bytes())
	return err
}

func writeLength(buf *bytes.Buffer, req *Request, resp *Response) {
	length := int64(len(resp.Body))
	switch {
	case resp.Status == http.StatusNoContent, resp.Status == http.StatusNotModified:
		return
	case req.Method == http.MethodHead:
		length = resp.ContentLength
	}
	if length < 0 {
		return
	}
	buf.WriteString("Content-Length: ")
	buf.WriteString(strconv.FormatInt(length, 10))
	buf.WriteString("\r\n")
}

// WriteRequest writes req towards an upstream, without hop-by-hop headers.
func WriteRequest(w io.Writer, req *Request) error {
	buf := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(buf)
	buf.Reset()
	buf.WriteString(req.Method)
	buf.WriteByte(' ')
	buf.WriteString(req.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(req.Host)
	buf.WriteString("\r\n")
	writeHeader(buf, req.Header)
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(req.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(req.Body)
	_, err := w.Write(buf.Bytes())
	return err
}

func writeHeader(buf *bytes.Buffer, h http.Header) {
	for key, values := range h {
		if key == "Content-Length" {
			continue
		}
		for _, v := range values {
			buf.WriteString(key)
			buf.WriteString(": ")
			buf.WriteString(v)
			buf.WriteString("\r\n")
		}
	}
}

// RemoveHopByHop deletes the headers that concern one connection only.
func RemoveHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range splitList(v) {
			h.Del(name)
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
