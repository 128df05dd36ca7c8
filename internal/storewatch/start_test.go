package storewatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestHostServesWithAPart checks that the initial part of the state is applied at once and the
// rest within a second, and that a host that can't serve with the initial part reads on at once.
func TestHostServesWithAPart(t *testing.T) {
	for name, serves := range map[string]bool{"serves": true, "needs more": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newFakeStore()
				store.put("a")
				store.put("b")
				start := time.Now()
				f := startWatcherWith(t, store, func(c *Config) {
					learn := c.OnInitialRead
					c.OnInitialRead = func(s *State) bool {
						learn(s)
						return serves
					}
				})
				time.Sleep(2 * time.Second)
				first, ok := f.learnedAfter("a", start)
				is.True(ok)
				is.Equal(first, time.Duration(0))
				rest, ok := f.learnedAfter("b", start)
				is.True(ok)
				is.Equal(rest > 0, serves)
				is.True(rest <= time.Second)
				f.expectInTime(t, "c")
			})
		})
	}
}
