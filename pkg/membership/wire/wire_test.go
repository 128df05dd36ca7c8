package wire

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/membership"
)

var (
	here  = netip.MustParseAddrPort("10.0.0.1:7000")
	there = netip.MustParseAddrPort("[2001:db8::1]:7000")
	from  = membership.Entry{
		Address: there, Process: 7, Incarnation: 9, State: membership.Alive,
		Leaving: true, FailureDomain: "hanoi", Metadata: []byte{1, 2},
	}
)

func bodies() []membership.Body {
	return []membership.Body{
		membership.Ping{Sequence: 1},
		membership.PingRequest{Sequence: 2, Target: there},
		membership.Ack{Sequence: 3},
		membership.SyncRequest{Sequence: 4, Window: membership.Window{Bits: 3, Prefix: 5}, Digests: []uint64{6, 7}},
		membership.SyncReply{Sequence: 5, Wanted: []uint32{8}, Members: 9},
		membership.SyncPush{},
	}
}

func codec(t testing.TB, keys ...string) *Codec {
	var k [][]byte
	for _, s := range keys {
		k = append(k, []byte(s))
	}
	c, err := NewCodec(k)
	is.New(t).NoErr(err)
	return c
}

const (
	oldKey = "0123456789abcdef"
	newKey = "fedcba9876543210"
)

func TestEveryBodySurvivesARoundTrip(t *testing.T) {
	is := is.New(t)
	c := codec(t, oldKey)
	for _, b := range bodies() {
		m := &membership.Message{From: from, Updates: []membership.Entry{from}, Body: b}
		d, err := c.Encode(here, m)
		is.NoErr(err)
		got, err := c.Decode(here, d)
		is.NoErr(err)
		is.Equal(got, m)
	}
}

func TestOnlySignedDatagramsForThisHostAreAccepted(t *testing.T) {
	is := is.New(t)
	m := &membership.Message{From: from, Body: membership.Ping{Sequence: 1}}
	signed, err := codec(t, oldKey).Encode(here, m)
	is.NoErr(err)
	plain, err := codec(t).Encode(here, m)
	is.NoErr(err)
	rows := []struct {
		name     string
		codec    *Codec
		at       netip.AddrPort
		datagram []byte
		err      error
	}{
		{"own key", codec(t, oldKey), here, signed, nil},
		{"key being replaced", codec(t, newKey, oldKey), here, signed, nil},
		{"other key", codec(t, newKey), here, signed, ErrUnauthenticated},
		{"other host", codec(t, oldKey), there, signed, ErrUnauthenticated},
		{"plain where keys are set", codec(t, oldKey), here, plain, ErrUnauthenticated},
		{"signed where no key is set", codec(t), here, signed, ErrMalformed},
		{"plain without keys", codec(t), here, plain, nil},
		{"empty", codec(t), here, nil, ErrMalformed},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			_, err := r.codec.Decode(r.at, r.datagram)
			is.New(t).Equal(err, r.err)
		})
	}
	for i := range signed {
		flipped := append([]byte(nil), signed...)
		flipped[i] ^= 1
		_, err := codec(t, oldKey).Decode(here, flipped)
		is.True(err != nil)
	}
	_, err = NewCodec([][]byte{[]byte("short")})
	is.Equal(err, ErrKeyTooShort)
}

// FuzzDecode passes datagrams to the decoder and the decoded messages to a core.
func FuzzDecode(f *testing.F) {
	c := codec(f)
	for _, b := range bodies() {
		d, err := c.Encode(here, &membership.Message{From: from, Updates: []membership.Entry{from}, Body: b})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(d)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m, err := c.Decode(here, datagram)
		if err != nil {
			return
		}
		checkCore(t, c, m)
	})
}

// checkCore passes a decoded message to a core: the core must not adopt state
// about itself or violate an invariant, and its messages must fit a datagram.
func checkCore(t *testing.T, c *Codec, m *membership.Message) {
	t.Helper()
	now := time.Unix(0, 0)
	core := membership.New(now, membership.Config{
		Address: here, Process: 1, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	for range 2 * membership.TicksPerPeriod {
		now = now.Add(membership.DefaultPeriod / membership.TicksPerPeriod)
		for _, out := range []membership.Effects{core.Receive(now, m), core.Tick(now)} {
			for _, e := range out.Events {
				if e.Code >= event.InvariantIncarnationBack {
					t.Fatal("invariant violated: ", e)
				}
			}
			for _, s := range out.Send {
				if _, err := c.Encode(s.To, s.Message); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	if s := core.Snapshot().Self; s.Process != 1 || s.State != membership.Alive {
		t.Fatal("core adopted another host's entry about itself: ", s)
	}
}
