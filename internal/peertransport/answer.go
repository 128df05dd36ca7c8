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

// The ages of an answer, in microseconds, are headers: its body is the same for
// all who ask for the same, and is encoded once.
const (
	headerAge         = "Spindle-Age"
	headerReturnedAge = "Spindle-Returned-Age"
)

// packed is the newest body of its kind that was encoded: after a change many
// peers ask for the same at the same time. After is 0 for everything.
type packed struct {
	after, revision uint64
	body            []byte
}

// packedKinds tells what came after a revision from everything: the one is often
// asked for while the other is still the newest of its kind.
type packedKinds struct {
	changes, all packed
}

func (t *Transport) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get(paramAfter), 10, 64)
	if err != nil {
		http.Error(w, paramAfter+": is not a revision", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	if !t.takeTurn(ctx, after) {
		http.Error(w, storesync.ErrBusy.Error(), http.StatusTooManyRequests)
		return
	}
	defer func() { <-t.answering }()
	told, err := t.conf.ServeFetch(ctx, after)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	answered := clock.Now()
	body, err := t.pack(after, told)
	if err != nil {
		t.refused(err)
		http.Error(w, "can't be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerAge, formatAge(told.Age+clock.Since(answered)))
	if told.ReturnedAge > 0 {
		w.Header().Set(headerReturnedAge, formatAge(told.ReturnedAge))
	}
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(body) // a peer that has left asks again
}

// maxAnswering is how many questions are answered at the same time. Answers may be large: the
// first hosts that have theirs can hand it on while the others wait.
const maxAnswering = 4

// takeTurn waits until this host can answer. One that asks for everything is told at once that
// others come first: it can ask another host.
func (t *Transport) takeTurn(ctx context.Context, after uint64) bool {
	if after == 0 {
		select {
		case t.answering <- struct{}{}:
			return true
		default:
			return false
		}
	}
	select {
	case t.answering <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// pack returns the compressed body of an answer.
func (t *Transport) pack(after uint64, told *storewatch.PeerMessage) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := &t.packed.changes
	if told.State != nil {
		kept, after = &t.packed.all, 0 // the same whatever a peer knows
	}
	if kept.body != nil && kept.after == after && kept.revision == told.Revision {
		return kept.body, nil
	}
	shared := *told
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
	*kept = packed{after, told.Revision, out.Bytes()}
	return out.Bytes(), nil
}

// Fetch implements storewatch.Peers.
func (t *Transport) Fetch(ctx context.Context, peer netip.AddrPort, after uint64) (*storewatch.PeerMessage, error) {
	url := "http://" + peer.String() + path + "?" + paramAfter + "=" + strconv.FormatUint(after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "question")
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "question")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return nil, storesync.ErrBusy
	default:
		return nil, &httpget.StatusError{Code: resp.StatusCode}
	}
	told := new(storewatch.PeerMessage)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(told); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	if told.Age, err = parseAge(resp.Header.Get(headerAge)); err != nil {
		return nil, err
	}
	if text := resp.Header.Get(headerReturnedAge); text != "" {
		if told.ReturnedAge, err = parseAge(text); err != nil {
			return nil, err
		}
	}
	return told, validate(told)
}

func formatAge(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

func parseAge(text string) (time.Duration, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "age")
	}
	return time.Duration(n) * time.Microsecond, nil
}
