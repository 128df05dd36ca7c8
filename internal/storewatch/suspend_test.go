package storewatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/clock"
)

// TestSuspendedHost: a machine is suspended for ten seconds, in which its timers stand
// still. What the host then tells its peers is as old as it is, and it asks the store at
// once though no timer of its own is due. Before, it passed what it knew ten seconds ago
// off as what it had just learned, and peers relied on it for as long as they do.
func TestSuspendedHost(t *testing.T) {
	const suspended = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.put("i-1")
		f := begin(t, store)
		synctest.Wait()
		told, err := f.follower.ServeFetch(t.Context(), 0)
		is.NoErr(err)
		is.True(told.Age < time.Second)
		sent := told.Sent

		store.change(func() { store.silent = true }) // what it asks is on its way when it looks
		defer clock.Skip(suspended)()
		told, err = f.follower.ServeFetch(t.Context(), 0)
		is.NoErr(err)
		is.True(told.Age >= suspended)
		is.True(told.Sent-sent >= suspended) // delays of messages are told from it
		calls := store.allCalls()
		f.follower.Resumed()
		synctest.Wait()
		is.True(store.allCalls() > calls)
	})
}
