// Package httpget reads over HTTP, bounded.
package httpget

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

// JSON reads url into out. The answer may have maxBytes. The error is one of Body or
// of decoding.
func JSON(ctx context.Context, client *http.Client, url string, maxBytes int64, out any) error {
	body, err := Body(ctx, client, url, maxBytes)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, out), "answer")
}

// Body reads what url answers, up to maxBytes. The error is a *StatusError,
// ErrTooLarge, or one of transport.
func Body(ctx context.Context, client *http.Client, url string, maxBytes int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	switch {
	case resp.StatusCode != http.StatusOK:
		return nil, &StatusError{resp.StatusCode}
	case err != nil:
		return nil, errors.Wrap(err, "body")
	case int64(len(body)) > maxBytes:
		return nil, errors.Wrapf(ErrTooLarge, "over %d bytes", maxBytes)
	}
	return body, nil
}
