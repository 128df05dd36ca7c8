package customers_test

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/customers"
)

func customer(name string, keys ...string) config.Customer {
	c := config.Customer{Name: name}
	for _, key := range keys {
		c.Keys = append(c.Keys, config.DigestKey(key))
	}
	return c
}

func TestFind(t *testing.T) {
	is := is.New(t)
	table := customers.Compile([]config.Customer{customer("a", "k1", "k2", "k1"), customer("b", "k3", "k2")}, "")
	is.Equal(table.ByKey(config.DigestKey("k1")).Name, "a")
	is.Equal(table.ByKey(config.DigestKey("k3")).Name, "b")
	is.Equal(table.ByKey(config.DigestKey("k4")), nil)
	is.True(table.ByKey(config.DigestKey("k2")).Unserved != "") // a key of two customers
	is.Equal(table.Ambiguous(), 1)
	is.Equal(table.ByName("b").Name, "b")
	is.Equal(table.ByName("c"), nil)
}

// TestDigestAsText: key digests survive the JSON encoding in which hosts exchange
// configurations.
func TestDigestAsText(t *testing.T) {
	is := is.New(t)
	c := customer("a", "secret-key")
	text, err := json.Marshal(c)
	is.NoErr(err)
	is.True(!strings.Contains(string(text), "secret"))
	var back config.Customer
	is.NoErr(json.Unmarshal(text, &back))
	is.Equal(back, c)
	for _, bad := range []string{`{"keys":["ab"]}`, `{"keys":["` + strings.Repeat("xy", 32) + `"]}`} {
		is.True(json.Unmarshal([]byte(bad), &back) != nil)
	}
}

func TestValidateCustomer(t *testing.T) {
	is := is.New(t)
	for field, c := range map[string]config.Customer{
		"name":            {Name: "a\nb"},
		"rate_per_second": {Name: "a", RatePerSecond: -1},
		"burst":           {Name: "a", Burst: -1},
		"priority":        {Name: "a", Priority: "urgent"},
	} {
		err := c.Validate()
		is.True(err != nil)
		is.True(strings.HasPrefix(err.Error(), field+":")) // names the field
	}
	whole := config.Configuration{Version: 1, Keyed: true, Customers: []config.Customer{customer("a"), customer("a")}}
	is.True(strings.Contains(whole.Validate().Error(), "stands twice"))
	whole = config.Configuration{Version: 1, Customers: []config.Customer{customer("a")}}
	is.True(whole.Validate() != nil) // customers without keys
}

// BenchmarkFind looks up one of 100,000 keys, including the computation of its digest.
func BenchmarkFind(b *testing.B) {
	var list []config.Customer
	for i := range 100_000 {
		list = append(list, customer("c"+strconv.Itoa(i), "key-of-twenty-bytes-"+strconv.Itoa(i)))
	}
	table := customers.Compile(list, "")
	b.ReportAllocs()
	for b.Loop() {
		if table.ByKey(config.DigestKey("key-of-twenty-bytes-77777")) == nil {
			b.Fatal("not found")
		}
	}
}
