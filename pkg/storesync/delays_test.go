package storesync

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDelays(t *testing.T) {
	is := is.New(t)
	from := netip.MustParseAddrPort("10.0.0.1:7200")
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const ms = time.Millisecond
	var d DelayEstimator
	is.Equal(d.Delay(from, 1, 5000*ms, at(10)), time.Duration(0)) // no earlier message to compare with
	is.Equal(d.Delay(from, 1, 5700*ms, at(710)), time.Duration(0))
	is.Equal(d.Delay(from, 1, 6400*ms, at(1405)), time.Duration(0)) // the smallest offset so far
	is.Equal(d.Delay(from, 1, 7100*ms, at(5105)), 3000*ms)          // the receiver was paused
	is.Equal(d.Delay(from, 1, 7800*ms, at(5105)), 2300*ms)
	is.Equal(d.Delay(from, 1, 11200*ms, at(6215)), 10*ms)
	is.Equal(d.Delay(from, 2, 10*ms, at(9000)), time.Duration(0)) // another process
}
