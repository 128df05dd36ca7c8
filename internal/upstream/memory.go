package upstream

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// This file bounds the memory for responses that are being received. An upstream may send a
// body without end, and each request may have one: without a bound their bytes could exhaust
// the memory and end the process, which would abort all other requests.

// smallResponseBytes is the size up to which an incomplete response is not counted, in bytes.
// Most responses are smaller, and so are the buffers of those whose bytes have just begun to
// arrive.
const smallResponseBytes = 16 << 10

// errMemory fails a request whose response is aborted for lack of memory.
var errMemory = errors.New("no memory for the rest of the answer")

// receiveBudget bounds the bytes of incomplete responses. It is safe for concurrent use.
type receiveBudget struct {
	limit int64        // bytes; 0 is no bound
	held  func() int64 // bytes held elsewhere that count towards limit; nil for none

	mu    sync.Mutex
	total int64
	sizes map[*conn]int64
}

// grow records that the response on c takes size bytes. It returns the connections whose
// responses must be aborted to stay within the limit, which may include c.
func (b *receiveBudget) grow(c *conn, size int) []*conn {
	if b.limit == 0 || size <= smallResponseBytes {
		return nil
	}
	held := int64(0)
	if b.held != nil {
		held = b.held()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sizes == nil {
		b.sizes = make(map[*conn]int64)
	}
	b.total += int64(size) - b.sizes[c]
	b.sizes[c] = int64(size)
	var victims []*conn
	for b.total+held > b.limit && len(b.sizes) > 0 {
		victim := b.largest()
		b.remove(victim)
		victims = append(victims, victim)
	}
	return victims
}

// largest returns the connection with the largest response of the upstream whose responses
// take the most. An upstream that sends without end so does not cost another one's responses.
func (b *receiveBudget) largest() *conn {
	byUpstream := make(map[*pool]int64)
	for c, size := range b.sizes {
		byUpstream[c.pool] += size
	}
	var out *conn
	for c, size := range b.sizes {
		if out == nil || byUpstream[c.pool] > byUpstream[out.pool] ||
			c.pool == out.pool && size > b.sizes[out] {
			out = c
		}
	}
	return out
}

// release records that the response on c takes no more bytes.
func (b *receiveBudget) release(c *conn) {
	if b.limit == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(c)
}

func (b *receiveBudget) remove(c *conn) {
	b.total -= b.sizes[c]
	delete(b.sizes, c)
}

// accountBuffer records the size of the buffered response, and aborts responses if they take
// too much memory together. The caller must hold c.mu.
func (c *conn) accountBuffer() error {
	var err error
	for _, victim := range c.client.receiving.grow(c, cap(c.buf)) {
		if victim == c {
			err = errMemory
			continue
		}
		go victim.abort(errMemory) // takes the lock of another connection
	}
	c.accounted = cap(c.buf) > smallResponseBytes
	return err
}

// releaseBuffer records that the response is complete or has failed. The caller must hold c.mu.
func (c *conn) releaseBuffer() {
	if c.accounted {
		c.accounted = false
		c.client.receiving.release(c)
	}
}

// abort fails the request in flight, unless its response is complete by now; the goroutine that
// waits for it closes the connection.
func (c *conn) abort(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accounted {
		_ = c.failRequest(err) // given to the request
	}
}
