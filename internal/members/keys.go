package members

import (
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/membership/wire"
)

// ParseKeys parses fleet keys from the operator's settings: hexadecimal,
// comma-separated, at least wire.MinKeyBytes each. An empty text means no keys.
// Errors never contain the keys.
func ParseKeys(text string) ([][]byte, error) {
	if text == "" {
		return nil, nil
	}
	var keys [][]byte
	for i, part := range strings.Split(text, ",") {
		k, err := hex.DecodeString(strings.TrimSpace(part))
		if err != nil {
			return nil, errors.Newf("fleet key %d is not hexadecimal", i+1)
		}
		if len(k) < wire.MinKeyBytes {
			return nil, errors.Newf("fleet key %d is shorter than %d bytes", i+1, wire.MinKeyBytes)
		}
		keys = append(keys, k)
	}
	return keys, nil
}
