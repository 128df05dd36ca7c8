package plan

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/config"
)

const ledger = `{
  "name": "ledger", "match": {"path_prefix": "/ledger/"},
  "groups": [{"name": "main", "upstreams": [
    {"id": "ledger-1", "address": "10.0.0.1:80", "failure_domain": "caruaru"},
    {"id": "ledger-2", "address": "10.0.0.2:80", "failure_domain": "petrolina"},
    {"id": "ledger-3", "address": "10.0.0.3:80", "failure_domain": "petrolina", "state": "draining"}]}],
  "rules": [
    {"name": "sale", "methods": ["POST"], "group": "main", "repeat": "non-repeatable"},
    {"name": "look", "methods": ["GET"], "group": "main", "repeat": "repeatable"}]}`

func parse(t *testing.T, text string) *config.Service {
	t.Helper()
	s, err := config.Parse([]byte(text))
	is.New(t).NoErr(err)
	return s
}

func testState(t *testing.T) *State {
	other := strings.NewReplacer("ledger", "archive").Replace(ledger)
	return &State{Revision: 9, Documents: []Document{{parse(t, ledger), 7}, {parse(t, other), 9}}}
}

func rule(name string, repeat config.Repeat) config.Rule {
	return config.Rule{Name: name, Methods: []string{"GET"}, Group: "main", Repeat: repeat}
}

func TestComputeExplains(t *testing.T) {
	sameMatch := parse(t, ledger)
	sameMatch.Match.PathPrefix = "/archive/"
	tests := []struct {
		name                    string
		edit                    Edit
		diff, consequence, warn string
	}{
		{"drain", SetUpstreamState{"ledger-1", config.Draining},
			`~ groups[main].upstreams[ledger-1].state: "active" -> "draining"`, "upstream ledger-1 takes no new requests", ""},
		{"undrain", SetUpstreamState{"ledger-3", config.Active},
			`"draining" -> "active"`, "upstream ledger-3 takes new requests again", ""},
		{"non-repeatable", PutRule{rule("look", config.NonRepeatable), ""},
			`~ rules[look].repeat: "repeatable" -> "non-repeatable"`, "rule look becomes non-repeatable: its retries", ""},
		{"repeatable", PutRule{rule("sale", config.Repeatable), ""},
			`rules[sale].repeat`, "rule sale becomes repeatable", "make sure that running it twice does no harm"},
		{"shadowed rule", PutRule{rule("late", config.Repeatable), ""},
			`+ rules[late].name: "late"`, "rule late is new", "rule late never applies: rule look"},
		{"rule order", PutRule{rule("look", config.Repeatable), "sale"},
			`~ rules: ["sale","look"] -> ["look","sale"]`, "another order: look, sale", ""},
		{"empty group", SetUpstreams{"main", nil},
			`- groups[main].upstreams[ledger-1].id`, "upstream ledger-1 leaves group main", "group main is empty"},
		{"delete rule", DeleteRule{"look"}, `- rules[look].name`, "rule look is removed", ""},
		{"new group", PutGroup{config.Group{Name: "spare"}}, `+ groups[spare].name`, "group spare is new", "group spare is empty"},
		{"same match", PutService{sameMatch, false}, `~ match.path_prefix`, "takes requests for /archive/", "archive wins, as its name sorts first"},
		{"delete", DeleteService{}, `- name: "ledger"`, "service ledger is deleted", ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			state := testState(t)
			before := Digest(state.Documents[0].Service)
			p, err := Compute(state, Request{Service: "ledger", Edit: tc.edit})
			is.NoErr(err)
			var diff []string
			for _, d := range p.Differences {
				diff = append(diff, d.String())
			}
			is.True(strings.Contains(strings.Join(diff, "\n"), tc.diff))
			is.True(strings.Contains(strings.Join(p.Consequences, "\n"), tc.consequence))
			is.True(strings.Contains(strings.Join(p.Warnings, "\n"), tc.warn))
			is.Equal(tc.warn == "", len(p.Warnings) == 0)
			is.Equal(p.Base, Base{7, before})
			is.Equal(Digest(state.Documents[0].Service), before) // the current state is not modified
			if !p.Delete {
				is.Equal(Digest(parse(t, string(p.Document))), p.Digest)
			}
		})
	}
}

func TestDrainingTheLastActiveUpstreamWarns(t *testing.T) {
	is := is.New(t)
	state := testState(t)
	state.Documents[0].Service.Groups[0].Upstreams[1].State = config.Draining
	p, err := Compute(state, Request{Service: "ledger", Edit: SetUpstreamState{"ledger-1", config.Draining}})
	is.NoErr(err)
	is.Equal(p.Warnings, []string{"group main has no active upstream left: its requests are refused as no-upstream"})
}

func TestComputeErrors(t *testing.T) {
	var notFound *NotFoundError
	var exists *ExistsError
	var field *config.FieldError
	var conflict *ConflictError
	tests := []struct {
		name    string
		service string
		edit    Edit
		base    *Base
		target  any
	}{
		{"no service", "missing", DeleteService{}, nil, &notFound},
		{"no upstream", "ledger", SetUpstreamState{"x", config.Draining}, nil, &notFound},
		{"no group", "ledger", DeleteGroup{"x"}, nil, &notFound},
		{"no rule", "ledger", DeleteRule{"x"}, nil, &notFound},
		{"no rule before", "ledger", PutRule{rule("a", config.Repeatable), "x"}, nil, &notFound},
		{"exists", "ledger", PutService{parse(t, ledger), true}, nil, &exists},
		{"group in use", "ledger", DeleteGroup{"main"}, nil, &field},
		{"other name", "archive", PutService{parse(t, ledger), false}, nil, &field},
		{"bad rule", "ledger", PutRule{rule("a", ""), ""}, nil, &field},
		{"old base", "ledger", DeleteRule{"look"}, &Base{6, 1}, &conflict},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Compute(testState(t), Request{Service: tc.service, Edit: tc.edit, Expected: tc.base})
			is.New(t).True(errors.As(err, tc.target))
		})
	}
}

func TestSameContentIsUnchanged(t *testing.T) {
	is := is.New(t)
	p, err := Compute(testState(t), Request{Service: "ledger", Edit: PutService{parse(t, ledger), false}})
	is.NoErr(err)
	is.True(p.Unchanged())
	is.Equal(p.Digest, p.Base.Digest)
}
