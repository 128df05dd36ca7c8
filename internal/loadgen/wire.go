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

// wire is one connection with one GET request on it at a time. It allocates
// nothing for a request and has no goroutine of its own, so that the figures
// hold little of the generator.
type wire struct {
	conn    net.Conn
	reader  *bufio.Reader
	request []byte
}

// answerLimit bounds the time to an answer.
const answerLimit = 10 * time.Second

func dialWire(ctx context.Context, raw string) (*wire, error) {
	u, err := url.Parse(raw)
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return &wire{
		conn:    conn,
		reader:  bufio.NewReader(conn),
		request: []byte("GET " + u.RequestURI() + " HTTP/1.1\r\nHost: " + u.Host + "\r\n\r\n"),
	}, nil
}

var (
	errBadAnswer = errors.New("answer is not a sized 200")
	statusOK     = []byte("HTTP/1.1 200 ")
	lengthName   = []byte("content-length:")
)

// ask sends the request and reads the whole answer. After an error the
// connection must not be used again.
func (w *wire) ask() error {
	if err := w.conn.SetDeadline(time.Now().Add(answerLimit)); err != nil {
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
		return errBadAnswer
	}
	length, err := w.readHeader()
	if err != nil {
		return err
	}
	_, err = w.reader.Discard(length)
	return err
}

// readHeader reads to the end of the head and returns the body's length.
func (w *wire) readHeader() (int, error) {
	length := -1
	for {
		line, err := w.reader.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		line = bytes.TrimSpace(line)
		switch {
		case len(line) == 0 && length < 0:
			return 0, errBadAnswer
		case len(line) == 0:
			return length, nil
		case len(line) > len(lengthName) && bytes.EqualFold(line[:len(lengthName)], lengthName):
			length, err = strconv.Atoi(string(bytes.TrimSpace(line[len(lengthName):])))
			if err != nil || length < 0 {
				return 0, errBadAnswer
			}
		}
	}
}

func (w *wire) close() { _ = w.conn.Close() }
