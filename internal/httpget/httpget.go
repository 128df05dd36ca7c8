// Package httpget performs HTTP GET requests with a bound on the size of the response
// body.
package httpget

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// StatusError is returned for a response with a status other than 200.
type StatusError struct {
	// Code is the HTTP status code.
	Code int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "unexpected status " + strconv.Itoa(e.Code) + " " + http.StatusText(e.Code)
}

// MaxHeadBytes bounds the head of a response, in bytes; the default of net/http is 10 MB. It is
// for http.Transport.MaxResponseHeaderBytes.
const MaxHeadBytes = 64 << 10

// maxUnusedBytes bounds what is read of a body that nobody uses, in bytes.
const maxUnusedBytes = 4 << 10

// ErrTooLarge is returned for a response body that exceeds its bound.
var ErrTooLarge = errors.New("response body too large")

// GetJSON gets url and decodes the response body, of at most maxBytes, into out. The error
// is one of Body or of decoding.
func GetJSON(ctx context.Context, client *http.Client, url string, maxBytes int64, out any) error {
	body, err := Get(ctx, client, url, maxBytes)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, out), "decode response body")
}

// Get gets url and returns the response body, of at most maxBytes. The error is a
// *StatusError, ErrTooLarge, or an error of the transport.
func Get(ctx context.Context, client *http.Client, url string, maxBytes int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		// The connection can be reused if the body ends soon.
		_, _ = io.CopyN(io.Discard, resp.Body, maxUnusedBytes)
		return nil, &StatusError{resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read response body")
	case int64(len(body)) > maxBytes:
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", maxBytes)
	}
	return body, nil
}
