package poison

import (
	"testing"

	"github.com/matryer/is"
)

// TestFingerprint: which differences between requests change which parts of a fingerprint.
func TestFingerprint(t *testing.T) {
	base := FingerprintOf("GET", "shop", "/lots/1", []byte("b"), "10.0.0.1")
	for name, test := range map[string]struct {
		other                   Fingerprint
		target, content, caller bool // equal
	}{
		"the same":            {FingerprintOf("GET", "shop", "/lots/1", []byte("b"), "10.0.0.1"), true, true, true},
		"another caller":      {FingerprintOf("GET", "shop", "/lots/1", []byte("b"), "10.0.0.2"), true, true, false},
		"another body":        {FingerprintOf("GET", "shop", "/lots/1", []byte("c"), "10.0.0.1"), true, false, false},
		"another method":      {FingerprintOf("PUT", "shop", "/lots/1", []byte("b"), "10.0.0.1"), true, false, false},
		"another target":      {FingerprintOf("GET", "shop", "/lots/2", []byte("b"), "10.0.0.1"), false, false, false},
		"another service":     {FingerprintOf("GET", "yard", "/lots/1", []byte("b"), "10.0.0.1"), false, false, false},
		"other part boundary": {FingerprintOf("GET", "shop/", "lots/1", []byte("b"), "10.0.0.1"), true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.other.Target == base.Target, test.target)
			is.Equal(test.other.Content == base.Content, test.content)
			is.Equal(test.other.Caller == base.Caller, test.caller)
		})
	}
}
