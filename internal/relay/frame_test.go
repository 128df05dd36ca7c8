package relay

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/matryer/is"
)

func frame(text string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

// TestDecodePieces guards against bytes that are lost or added when frames arrive in pieces.
func TestDecodePieces(t *testing.T) {
	is := is.New(t)
	stream := bytes.Join([][]byte{frame("abc"), message(leaving), frame("defgh"), message(endOfStream)}, nil)
	for size := 1; size <= len(stream); size++ {
		var d Decoder
		var got []byte
		for rest := stream; len(rest) > 0; {
			n := min(size, len(rest))
			is.NoErr(d.Decode(rest[:n], func(b []byte) error { got = append(got, b...); return nil }))
			rest = rest[n:]
		}
		is.Equal(string(got), "abcdefgh")
		is.True(d.Leaving())
		is.True(d.Ended())
	}
}

// TestDecodeRejects guards against a peer whose frames exceed the bound or follow the end.
func TestDecodeRejects(t *testing.T) {
	is := is.New(t)
	discard := func([]byte) error { return nil }
	var d Decoder
	is.Equal(d.Decode(message(maxFrameBytes+1), discard), errFrameTooLarge)
	d = Decoder{}
	is.NoErr(d.Decode(message(endOfStream), discard))
	is.Equal(d.Decode([]byte{0}, discard), errAfterEnd)
}

// FuzzDecode checks that no input makes the decoder deliver more than it got.
func FuzzDecode(f *testing.F) {
	f.Add(append(frame("abc"), message(endOfStream)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Decoder
		n := 0
		_ = d.Decode(data, func(b []byte) error { n += len(b); return nil })
		if n > len(data) {
			t.Fatalf("%d bytes of %d", n, len(data))
		}
	})
}
