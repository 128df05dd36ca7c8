package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

type noGroups struct{}

func (noGroups) Group(_ *config.Service, g *config.Group) *Group { return &Group{Config: g} }

func service(name, host, prefix string, rules ...config.Rule) *config.Service {
	return &config.Service{
		Name:   name,
		Match:  config.Match{Host: host, PathPrefix: prefix},
		Groups: []config.Group{{Name: "main"}},
		Rules:  rules,
	}
}

func TestRoute(t *testing.T) {
	sale := config.Rule{Name: "sale", Methods: []string{"POST"}, PathPrefix: "/ledger/sale", Group: "main"}
	lookup := config.Rule{Name: "lookup", Methods: []string{"GET"}, Group: "main"}
	table := Compile(1, []*config.Service{
		service("b-ledger", "", "/ledger/", lookup),
		service("a-ledger", "", "/ledger/", sale, lookup),
		service("hosted", "api.example", "/ledger/", lookup),
		service("deep", "", "/ledger/history/", lookup),
	}, noGroups{})
	tests := []struct {
		name, method, host, path string
		service, rule            string
	}{
		{"first rule that matches", "POST", "x", "/ledger/sale/1", "a-ledger", "sale"},
		{"second rule", "GET", "x", "/ledger/sale/1", "a-ledger", "lookup"},
		{"same match goes to the first name", "GET", "x", "/ledger/", "a-ledger", "lookup"},
		{"longest prefix", "GET", "x", "/ledger/history/9", "deep", "lookup"},
		{"host, with its port ignored", "GET", "API.example:80", "/ledger/1", "hosted", "lookup"},
		{"no rule for the method", "PUT", "x", "/ledger/1", "", ""},
		{"no service", "GET", "x", "/other", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := table.Route(tt.method, tt.host, tt.path)
			if tt.service == "" {
				is.True(r == nil)
				return
			}
			is.Equal(r.Service.Name, tt.service)
			is.Equal(r.Config.Name, tt.rule)
		})
	}
}

// firstMatch is the reference implementation of the match order: a linear scan.
func firstMatch(t *Table, host, path string) *Service {
	for _, s := range t.Services() {
		m := s.Config.Match
		if (m.Host == "" || strings.EqualFold(m.Host, host)) && strings.HasPrefix(path, m.PathPrefix) {
			return s
		}
	}
	return nil
}

// TestIndexMatchesLinearScan compares the index with firstMatch, on few prefixes and
// hosts, so that they overlap. Two of the hosts make lower-casing and case folding
// differ: U+212A folds to k, and the lower case of U+0130 is i, to which it does not
// fold.
func TestIndexMatchesLinearScan(t *testing.T) {
	const tables, lookups = 300, 200
	prefixes := []string{"", "/", "/a", "/a/", "/a/b", "/b/", "/ab"}
	hosts := []string{"", "", "k", "K", "api", "API.example", "\u212a", "é", "i", "\u0130"}
	random := rand.New(rand.NewPCG(2026, 1))
	pick := func(list []string) string { return list[random.IntN(len(list))] }
	for range tables {
		var services []*config.Service
		for i := range random.IntN(12) {
			services = append(services, service(fmt.Sprintf("s%d", i), pick(hosts), pick(prefixes)))
		}
		table := Compile(1, services, noGroups{})
		for range lookups {
			host, path := pick(hosts), pick(prefixes)+pick([]string{"", "x", "/b"})
			if got, want := table.index.find(host, path), firstMatch(table, host, path); got != want {
				t.Fatalf("host %q, path %q: got %v, want %v", host, path, got, want)
			}
		}
	}
}
