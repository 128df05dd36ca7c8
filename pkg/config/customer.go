package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Customer is a customer whose callers the entry hosts serve.
type Customer struct {
	// Name identifies the customer to upstreams. That of an unserved customer may be any text.
	Name string `json:"name"`
	// Keys are the digests of the keys that its callers send.
	Keys []KeyDigest `json:"keys"`
	// Priority overrides the rule's priority. Default: empty, the rule's priority.
	Priority Priority `json:"priority,omitempty"`
	// RatePerSecond bounds its requests over all entry hosts, in requests a second.
	// Default: 0, no bound.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64 `json:"burst,omitempty"`
	// Unserved is the reason why all its requests are refused. Default: empty, they
	// are served.
	Unserved string `json:"unserved,omitempty"`
}

// KeyDigest is the SHA-256 digest of a customer's key. The key itself is not stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a customer's key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler. The text is hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.Newf("digest of a key: has %d digits, not %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "digest of a key")
}

// MaxCustomerNameBytes is the maximum length of a customer's name, in bytes. Upstreams receive
// it in a header, and entry hosts exchange it in datagrams.
const MaxCustomerNameBytes = 1024

const (
	maxRate  = 1_000_000 // requests a second
	maxBurst = 10 * maxRate
)

// Validate reports the first field that is out of range, as a *FieldError.
func (c *Customer) Validate() error {
	if c.Unserved != "" {
		return nil
	}
	if !validCustomerName(c.Name) {
		return &FieldError{"name", strconv.Quote(c.Name) + " is not a valid name",
			"use 1 to 1024 bytes without control characters and without blanks at the ends"}
	}
	if !(c.RatePerSecond >= 0 && c.RatePerSecond <= maxRate) {
		return &FieldError{"rate_per_second", "is outside 0 to 1000000", "write requests a second over all entry hosts, or 0 for no bound"}
	}
	if !(c.Burst >= 0 && c.Burst <= maxBurst) {
		return &FieldError{"burst", "is outside 0 to 10000000", "write a number of requests"}
	}
	switch c.Priority {
	case "", PriorityHigh, PriorityNormal, PriorityLow:
		return nil
	}
	return &FieldError{"priority", "is " + strconv.Quote(string(c.Priority)), "write \"high\", \"normal\" or \"low\", or leave it out"}
}

// validCustomerName reports whether name arrives unchanged as a header value: RFC 9110, 5.5,
// allows blanks inside and bytes beyond ASCII, and recipients remove blanks at the ends.
func validCustomerName(name string) bool {
	if name == "" || len(name) > MaxCustomerNameBytes || name != strings.Trim(name, " \t") {
		return false
	}
	for _, c := range []byte(name) {
		if c < ' ' || c == deleteChar {
			return false
		}
	}
	return true
}

// deleteChar is the ASCII control character above the printable ones.
const deleteChar = 0x7f

func (c *Configuration) validateCustomers() error {
	if !c.Keyed && (len(c.Customers) > 0 || c.UnreadKeys != "") {
		return &FieldError{"customers", "are named, but their callers send no keys", "set keyed or leave them out"}
	}
	names := make(map[string]bool, len(c.Customers))
	for i := range c.Customers {
		field := elementPath("customers", i)
		if err := c.Customers[i].Validate(); err != nil {
			return errors.Wrap(err, field)
		}
		if c.Customers[i].Unserved != "" {
			continue
		}
		if names[c.Customers[i].Name] {
			return &FieldError{field + ".name", "stands twice", "give each customer its own name"}
		}
		names[c.Customers[i].Name] = true
	}
	return nil
}
