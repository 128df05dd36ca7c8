package routing

import (
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
