package config

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const valid = `{
  "name": "ledger",
  "match": {"path_prefix": "/ledger/"},
  "groups": [{"name": "main", "upstreams": [
    {"id": "ledger-1", "address": "127.0.0.1:9001", "failure_domain": "caruaru"}]}],
  "rules": [{"name": "sale", "methods": ["POST"], "group": "main", "repeat": "non-repeatable"}]
}`

func TestParseSetsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(s.Groups[0].Upstreams[0].Slots, DefaultSlots)
	is.Equal(s.Groups[0].Upstreams[0].State, Active)
	is.Equal(s.Rules[0].Deadline.Std(), DefaultDeadline)
	is.Equal(s.Rules[0].Retry.MaxAttempts, 0)
}

func TestParseReportsField(t *testing.T) {
	tests := []struct {
		name, old, new, field string
	}{
		{"name", `"name": "ledger"`, `"name": "Ledger"`, "name"},
		{"path", `"/ledger/"`, `"ledger"`, "match.path_prefix"},
		{"address", `127.0.0.1:9001`, `localhost:9001`, "groups[0].upstreams[0].address"},
		{"group", `"group": "main"`, `"group": "other"`, "rules[0].group"},
		{"repeat", `"non-repeatable"`, `"maybe"`, "rules[0].repeat"},
		{"execution", `"repeat": "non-repeatable"`, `"repeat": "non-repeatable", "execution": "never"`, "rules[0].execution"},
		{"execution of a repeatable rule", `"repeat": "non-repeatable"`, `"repeat": "repeatable", "execution": "ticket"`, "rules[0].execution"},
		{"retry", `"repeat": "non-repeatable"`, `"repeat": "non-repeatable", "retry": {"budget_percent": 5}`, "rules[0].retry"},
		{"attempts of a non-repeatable rule", `"repeat": "non-repeatable"`, `"repeat": "non-repeatable", "retry": {"max_attempts": 11}`, "rules[0].retry.max_attempts"},
		{"split beside group", `"group": "main"`, `"group": "main", "split": [{"group": "main", "weight": 1}]`, "rules[0].group"},
		{"split to an unknown group", `"group": "main"`, `"split": [{"group": "other", "weight": 1}]`, "rules[0].split[0].group"},
		{"weight", `"group": "main"`, `"split": [{"group": "main", "weight": 0}]`, "rules[0].split[0].weight"},
		{"registered beside upstreams", `"name": "main",`, `"name": "main", "registered": "a",`, "groups[0].upstreams"},
		{"health path without registered", `"name": "main",`, `"name": "main", "health_path": "/health",`, "groups[0].registered"},
		{"target latency", `"group": "main"`, `"group": "main", "target_latency": "6m"`, "rules[0].target_latency"},
		{"hedge", `"repeat": "non-repeatable"`, `"repeat": "repeatable", "retry": {"hedge": "later"}`, "rules[0].retry.hedge"},
		{"hedge off with a delay", `"repeat": "non-repeatable"`, `"repeat": "repeatable", "retry": {"hedge": "off", "hedge_after": "5ms"}`, "rules[0].retry.hedge"},
		{"hedge off with a percentile", `"repeat": "non-repeatable"`, `"repeat": "repeatable", "retry": {"hedge": "off", "hedge_percentile": 95}`, "rules[0].retry.hedge"},
		{"hedge of a non-repeatable rule", `"repeat": "non-repeatable"`, `"repeat": "non-repeatable", "retry": {"hedge": "off"}`, "rules[0].retry"},
		{"server name without TLS", `"name": "main",`, `"name": "main", "tls": {"server_name": "a"},`, "groups[0].tls.server_name"},
		{"server name", `"name": "main",`, `"name": "main", "tls": {"enabled": true, "server_name": "a b@c"},`, "groups[0].tls.server_name"},
		{"method", `"POST"`, `"post"`, "rules[0].methods[0]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(valid, tt.old, tt.new, 1)))
			var fe *FieldError
			is.True(errors.As(err, &fe))
			is.Equal(fe.Field, tt.field)
		})
	}
}

func TestParseRejectsUnknownAndTrailing(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(strings.Replace(valid, `"rules"`, `"rulez": [], "rules"`, 1)))
	is.True(err != nil)
	_, err = Parse([]byte(valid + "{}"))
	is.True(err != nil)
}
