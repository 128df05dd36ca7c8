package peertransport

import (
	"math/rand/v2"
	"net/netip"
	"sync"
)

// pendingRequests holds the requests of one kind that were not answered yet; their responses
// arrive in datagrams. The zero value is ready to use.
type pendingRequests[Response any] struct {
	mu      sync.Mutex
	pending map[uint64]pendingRequest[Response]
}

// pendingRequest is a request that waits for its response.
type pendingRequest[Response any] struct {
	to       netip.AddrPort // the host that was asked; invalid if the sender is not checked
	response chan Response
}

// add adds a request, and returns its ID, which is not 0, and the channel that receives its
// response.
func (q *pendingRequests[Response]) add() (uint64, <-chan Response) {
	return q.addTo(netip.AddrPort{})
}

// addTo is add for a request whose response must be from the host that is asked.
func (q *pendingRequests[Response]) addTo(to netip.AddrPort) (uint64, <-chan Response) {
	id, response := max(rand.Uint64(), 1), make(chan Response, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = make(map[uint64]pendingRequest[Response])
	}
	q.pending[id] = pendingRequest[Response]{to, response}
	return id, response
}

// remove removes a request and returns its channel; nil if it was answered or abandoned.
func (q *pendingRequests[Response]) remove(id uint64) chan<- Response {
	q.mu.Lock()
	defer q.mu.Unlock()
	response := q.pending[id].response
	delete(q.pending, id)
	return response
}

// removeFrom is remove for a response of a host. If another host was asked, the request remains
// and ok is false.
func (q *pendingRequests[Response]) removeFrom(id uint64, from netip.AddrPort) (response chan<- Response, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	request, pending := q.pending[id]
	if pending && request.to != from {
		return nil, false
	}
	delete(q.pending, id)
	return request.response, true
}
