package control

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

func TestPostDropsWhenFull(t *testing.T) {
	is := is.New(t)
	l := NewLoop() // not running, so the queue is not drained
	for range queueLength {
		is.True(l.Post(func() {}))
	}
	is.True(!l.Post(func() {}))
	is.Equal(l.Dropped(), int64(1))
}

func TestCallRunsAfterEarlierPosts(t *testing.T) {
	is := is.New(t)
	l := NewLoop()
	var order []int
	for i := range 3 {
		is.True(l.Post(func() { order = append(order, i) }))
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	is.NoErr(l.Call(t.Context(), func() { order = append(order, 3) }))
	cancel()
	<-ended
	is.Equal(order, []int{0, 1, 2, 3})
}

func TestCallReturnsWhenContextEnds(t *testing.T) {
	is := is.New(t)
	l := NewLoop() // not running, so the call is never executed
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(l.Call(ctx, func() {}), context.Canceled)
	for range queueLength {
		l.Post(func() {})
	}
	is.Equal(l.Call(ctx, func() {}), context.Canceled) // even if the queue is full
}
