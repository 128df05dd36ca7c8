package lifecycle

import (
	"errors"
	"flag"
	"math"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func TestNoticeJoinLaws(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Notice {
		return Notice{
			DrainRevision: rapid.Uint64Range(0, 5).Draw(t, "drain revision"),
			MinActivation: rapid.Uint64Range(0, 5).Draw(t, "min activation"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		is.Equal(a.Join(a), a)
		is.Equal(a.Join(b), b.Join(a))
		is.Equal(a.Join(b).Join(c), a.Join(b.Join(c)))
	})
}

func TestBytesOfANotice(t *testing.T) {
	is := is.New(t)
	usual := Notice{Key: KeyOf("lot-catalogue", "caruaru-3"), DrainRevision: 15000 * 365, MinActivation: 2}
	largest := Notice{Key: math.MaxUint64, DrainRevision: math.MaxUint64, MinActivation: math.MaxUint64}
	t.Logf("typical notice %d bytes, largest %d bytes", len(usual.appendTo(nil)), len(largest.appendTo(nil)))
	is.Equal(len(largest.appendTo(nil)), MaxNoticeBytes)
	is.True(MaxNoticeBytes <= 64)
	notices, err := DecodeNotices(EncodeNotices([]Notice{usual, largest}))
	is.NoErr(err)
	is.Equal(notices, []Notice{usual, largest})
	_, err = DecodeNotices(usual.appendTo(nil)[:10])
	is.True(errors.Is(err, ErrTruncatedNotice))
}

// FuzzDecodeNotices checks that decoded notices survive an encoding round trip.
func FuzzDecodeNotices(f *testing.F) {
	f.Add(EncodeNotices([]Notice{{Key: 1, DrainRevision: 300, MinActivation: 2}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		notices, err := DecodeNotices(b)
		if err != nil {
			return
		}
		again, err := DecodeNotices(EncodeNotices(notices))
		is := is.New(t)
		is.NoErr(err)
		is.Equal(again, notices)
	})
}
