package config

import (
	"bytes"
	"encoding/json"
	"testing"
)

// FuzzParse checks that Parse never panics and that a valid document survives
// encoding and parsing unchanged.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"name":"a","match":{"path_prefix":"/"},"groups":[{"name":"g","slow_start":"1s","probe":{"slot_time_percent":1.5}}],` +
		`"rules":[{"name":"r","group":"g","methods":[],"repeat":"repeatable","retry":{"hedge_after":"1ms"}}]}`))
	f.Add([]byte(`{"name":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err != nil {
			return
		}
		written, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if len(written) > MaxDocumentBytes {
			return // the defaults made it longer than the maximum
		}
		again, err := Parse(written)
		if err != nil {
			t.Fatalf("%v in %s", err, written)
		}
		twice, err := json.Marshal(again)
		if err != nil || !bytes.Equal(written, twice) {
			t.Fatalf("%s became %s (%v)", written, twice, err)
		}
	})
}
