package peertransport

import (
	"math/rand/v2"
	"sync"
)

// pendingRequests holds the requests of one kind that were not answered yet; their responses
// arrive in datagrams. The zero value is ready to use.
type pendingRequests[Response any] struct {
	mu      sync.Mutex
	pending map[uint64]chan Response
}

// add adds a request, and returns its ID and the channel that receives its response.
func (q *pendingRequests[Response]) add() (uint64, <-chan Response) {
	id, response := rand.Uint64(), make(chan Response, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = make(map[uint64]chan Response)
	}
	q.pending[id] = response
	return id, response
}

// remove removes a request and returns its channel; nil if it was answered or abandoned.
func (q *pendingRequests[Response]) remove(id uint64) chan<- Response {
	q.mu.Lock()
	defer q.mu.Unlock()
	response := q.pending[id]
	delete(q.pending, id)
	return response
}
