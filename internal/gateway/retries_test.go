package gateway

import (
	"testing"

	"github.com/matryer/is"
)

func TestRetryShare(t *testing.T) {
	is := is.New(t)
	conf := Settings{RetryBudgetRatio: 0.2, RetryReserve: 64}
	for hosts, want := range map[int]float64{0: 1, 1: 32, 18: 64 * 0.5 / 18, 142: 1} {
		share, reserve := retryShare(conf, hosts)
		is.Equal(share, 17.0)
		is.Equal(reserve, want)
	}
	// All hosts together stay within the reserve even if each sees only half of them.
	_, half := retryShare(conf, 9)
	is.True(18*half <= conf.RetryReserve)
}
