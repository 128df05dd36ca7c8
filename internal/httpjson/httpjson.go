// Package httpjson reads JSON over HTTP, bounded.
package httpjson

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// StatusError is an answer other than 200.
type StatusError struct {
	// Code is the HTTP status.
	Code int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "answered " + strconv.Itoa(e.Code) + " " + http.StatusText(e.Code)
}

// ErrTooLarge says that an answer exceeds its bound.
var ErrTooLarge = errors.New("answer too large")

// Get reads url into out. The answer may have maxBytes. The error is a
// *StatusError, ErrTooLarge, or one of transport or decoding.
func Get(ctx context.Context, client *http.Client, url string, maxBytes int64, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	switch {
	case resp.StatusCode != http.StatusOK:
		return &StatusError{resp.StatusCode}
	case err != nil:
		return errors.Wrap(err, "body")
	case int64(len(body)) > maxBytes:
		return errors.Wrapf(ErrTooLarge, "over %d bytes", maxBytes)
	}
	return errors.Wrap(json.Unmarshal(body, out), "answer")
}
