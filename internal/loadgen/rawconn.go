package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// rawConn is a connection that sends the same GET request repeatedly, one at a
// time. It does not allocate per request and has no goroutine, to keep the
// overhead of the load generator out of the measurements.
type rawConn struct {
	conn    net.Conn
	reader  *bufio.Reader
	request []byte
}

// responseTimeout bounds the time from a request to the end of its response.
const responseTimeout = 10 * time.Second

func dialRaw(ctx context.Context, raw string) (*rawConn, error) {
	u, err := url.Parse(raw)
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return &rawConn{
		conn:    conn,
		reader:  bufio.NewReader(conn),
		request: []byte("GET " + u.RequestURI() + " HTTP/1.1\r\nHost: " + u.Host + "\r\n\r\n"),
	}, nil
}

var (
	errUnexpectedResponse = errors.New("response is not a 200 with a Content-Length")
	statusOK              = []byte("HTTP/1.1 200 ")
	contentLengthPrefix   = []byte("content-length:")
)

// roundTrip sends the request and reads the whole response. After an error the
// connection must not be reused.
func (w *rawConn) roundTrip() error {
	if err := w.conn.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return err
	}
	if _, err := w.conn.Write(w.request); err != nil {
		return err
	}
	line, err := w.reader.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(line, statusOK) {
		return errUnexpectedResponse
	}
	length, err := w.readHeaders()
	if err != nil {
		return err
	}
	_, err = w.reader.Discard(length)
	return err
}

// readHeaders reads the header fields and returns the Content-Length.
func (w *rawConn) readHeaders() (int, error) {
	length := -1
	for {
		line, err := w.reader.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		line = bytes.TrimSpace(line)
		switch {
		case len(line) == 0 && length < 0:
			return 0, errUnexpectedResponse
		case len(line) == 0:
			return length, nil
		case len(line) > len(contentLengthPrefix) && bytes.EqualFold(line[:len(contentLengthPrefix)], contentLengthPrefix):
			length, err = strconv.Atoi(string(bytes.TrimSpace(line[len(contentLengthPrefix):])))
			if err != nil || length < 0 {
				return 0, errUnexpectedResponse
			}
		}
	}
}

func (w *rawConn) close() { _ = w.conn.Close() }
