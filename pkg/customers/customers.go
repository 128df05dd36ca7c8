// Package customers finds the customer that an API key belongs to.
//
// Keys are compared by their digests and are not stored, so that no log, metric, event or
// memory dump can show a key that was only configured.
package customers

import "github.com/dapplespindle/dapplespindle/pkg/config"

// Table finds customers by key or name. It is immutable.
type Table struct {
	byKey  map[config.KeyDigest]*config.Customer
	byName map[string]*config.Customer
	// other is the entry of all other keys; nil if they are unknown.
	other *config.Customer
}

// ambiguous is the entry of a key that several customers have, since the customer of a
// request with such a key is unknown.
var ambiguous = &config.Customer{Unserved: "several customers have the key"}

// Compile builds a table of validated customers. UnreadKeys is the reason why some keys could
// not be read; empty if all were.
func Compile(list []config.Customer, unreadKeys string) *Table {
	t := &Table{
		byKey:  make(map[config.KeyDigest]*config.Customer),
		byName: make(map[string]*config.Customer, len(list)),
	}
	if unreadKeys != "" {
		t.other = &config.Customer{Unserved: unreadKeys}
	}
	for i := range list {
		c := &list[i]
		if c.Unserved == "" {
			t.byName[c.Name] = c
		}
		for _, key := range c.Keys {
			if known := t.byKey[key]; known != nil && known != c {
				t.byKey[key] = ambiguous
				continue
			}
			t.byKey[key] = c
		}
	}
	return t
}

// ByKey returns the customer that has a key, or nil if none has it. For a key that several
// customers have, or that may be one of those that could not be read, it returns a customer
// with Unserved set.
func (t *Table) ByKey(key config.KeyDigest) *config.Customer {
	if c := t.byKey[key]; c != nil {
		return c
	}
	return t.other
}

// ByName returns the served customer with a name, or nil if there is none.
func (t *Table) ByName(name string) *config.Customer { return t.byName[name] }

// Ambiguous returns the number of keys that several customers have.
func (t *Table) Ambiguous() int {
	n := 0
	for _, c := range t.byKey {
		if c == ambiguous {
			n++
		}
	}
	return n
}
