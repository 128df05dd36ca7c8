package gossip_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/gossip"
)

// TestDraw checks that each element is drawn equally often, and none twice.
func TestDraw(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	drawn := make(map[int]int)
	for range 4000 {
		list := []int{0, 1, 2, 3}
		got := gossip.Sample(list, 2, random.IntN)
		is.Equal(len(got), 2)
		is.True(got[0] != got[1])
		drawn[got[0]]++
		drawn[got[1]]++
	}
	for i := range 4 {
		is.True(drawn[i] > 1850 && drawn[i] < 2150)
	}
	is.Equal(len(gossip.Sample([]int{7}, 2, random.IntN)), 1)
	is.Equal(len(gossip.Sample([]int{}, 2, random.IntN)), 0)
}
