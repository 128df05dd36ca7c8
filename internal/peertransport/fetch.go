package peertransport

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/clock"
	"github.com/dapplespindle/dapplespindle/internal/httpget"
	"github.com/dapplespindle/dapplespindle/internal/storewatch"
	"github.com/dapplespindle/dapplespindle/pkg/storesync"
)

// The ages of a response, in microseconds, are sent as headers, so that the body is the same for
// all peers that make the same request and is encoded only once.
const (
	headerAge         = "Spindle-Age"
	headerReturnedAge = "Spindle-Returned-Age"
)

// encodedBody is the most recently encoded body of its kind: after a change, many peers make the
// same request at the same time. The field after is 0 for the full state.
type encodedBody struct {
	after, revision uint64
	body            []byte
}

// bodyCache holds one body for changes and one for the full state: requests for the two kinds
// alternate while both bodies are still current.
type bodyCache struct {
	changes, state encodedBody
}

func (t *Transport) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get(paramAfter), 10, 64)
	if err != nil {
		http.Error(w, paramAfter+": is not a revision", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), serveTimeout)
	defer cancel()
	if !t.acquireSlot(ctx, after) {
		http.Error(w, storesync.ErrBusy.Error(), http.StatusTooManyRequests)
		return
	}
	defer func() { <-t.fetchSlots }()
	message, err := t.conf.ServeFetch(ctx, after)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	answered := clock.Now()
	body, err := t.encodeBody(after, message)
	if err != nil {
		t.reportRefused(err)
		http.Error(w, "can't be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerAge, formatAge(message.Age+clock.Since(answered)))
	if message.ReturnedAge > 0 {
		w.Header().Set(headerReturnedAge, formatAge(message.ReturnedAge))
	}
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(body) // a peer whose connection failed asks again
}

// maxConcurrentFetches is the number of fetches served concurrently. Responses may be large: a
// low limit completes the first ones early, and their receivers can serve the other hosts.
const maxConcurrentFetches = 4

// acquireSlot waits until this host can serve another fetch. A request for the full state does
// not wait and fails at once if the host is busy, since the peer can ask another host.
func (t *Transport) acquireSlot(ctx context.Context, after uint64) bool {
	if after == 0 {
		select {
		case t.fetchSlots <- struct{}{}:
			return true
		default:
			return false
		}
	}
	select {
	case t.fetchSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// encodeBody returns the compressed body of a response.
func (t *Transport) encodeBody(after uint64, message *storewatch.PeerMessage) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cached := &t.bodies.changes
	if message.State != nil {
		cached, after = &t.bodies.state, 0 // the same for all revisions that a peer may know
	}
	if cached.body != nil && cached.after == after && cached.revision == message.Revision {
		return cached.body, nil
	}
	shared := *message
	shared.Age, shared.ReturnedAge = 0, 0
	var out bytes.Buffer
	zip, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(zip).Encode(&shared); err != nil {
		return nil, err
	}
	if err := zip.Close(); err != nil {
		return nil, err
	}
	*cached = encodedBody{after, message.Revision, out.Bytes()}
	return out.Bytes(), nil
}

// Fetch implements storewatch.Peers.
func (t *Transport) Fetch(ctx context.Context, peer netip.AddrPort, after uint64) (*storewatch.PeerMessage, error) {
	url := "http://" + peer.String() + path + "?" + paramAfter + "=" + strconv.FormatUint(after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return nil, storesync.ErrBusy
	default:
		return nil, &httpget.StatusError{Code: resp.StatusCode}
	}
	message := new(storewatch.PeerMessage)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(message); err != nil {
		return nil, errors.Wrap(err, "response")
	}
	if message.Age, err = parseAge(resp.Header.Get(headerAge)); err != nil {
		return nil, err
	}
	if text := resp.Header.Get(headerReturnedAge); text != "" {
		if message.ReturnedAge, err = parseAge(text); err != nil {
			return nil, err
		}
	}
	return message, validate(message)
}

func formatAge(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

func parseAge(text string) (time.Duration, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "age")
	}
	return time.Duration(n) * time.Microsecond, nil
}
