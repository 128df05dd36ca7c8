package storewatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/clock"
)

// TestSuspendedHost suspends a machine for ten seconds, during which its timers stop. The age that
// the host then sends to its peers must include the suspension, and the host must call the store
// at once although none of its timers is due. A clock that does not count suspensions made the
// host present ten-second-old state as current, and its peers relied on it.
func TestSuspendedHost(t *testing.T) {
	const suspended = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.put("i-1")
		f := startWatcher(t, store)
		synctest.Wait()
		message, err := f.watcher.ServeFetch(t.Context(), 0)
		is.NoErr(err)
		is.True(message.Age < time.Second)
		sent := message.Sent

		store.change(func() { store.unresponsive = true }) // keep the host's call pending
		defer clock.SimulateSuspension(suspended)()
		message, err = f.watcher.ServeFetch(t.Context(), 0)
		is.NoErr(err)
		is.True(message.Age >= suspended)
		is.True(message.Sent-sent >= suspended) // message delays are derived from Sent
		calls := store.allCalls()
		f.watcher.Resumed()
		synctest.Wait()
		is.True(store.allCalls() > calls)
	})
}
