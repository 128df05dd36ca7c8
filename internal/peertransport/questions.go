package peertransport

import (
	"math/rand/v2"
	"sync"
)

// questions are those of one kind that were not answered yet; their answers come in
// datagrams. The zero value is ready to use.
type questions[Answer any] struct {
	mu   sync.Mutex
	open map[uint64]chan Answer
}

// ask adds a question, and returns its number and where its answer comes.
func (q *questions[Answer]) ask() (uint64, <-chan Answer) {
	number, answer := rand.Uint64(), make(chan Answer, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open == nil {
		q.open = make(map[uint64]chan Answer)
	}
	q.open[number] = answer
	return number, answer
}

// take takes a question out; nil if it was answered or given up.
func (q *questions[Answer]) take(number uint64) chan<- Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	answer := q.open[number]
	delete(q.open, number)
	return answer
}
