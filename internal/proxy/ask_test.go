package proxy

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/balancer"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/routing"
)

// queryingPicker requests load queries to its members until they were queried.
type queryingPicker struct {
	members []*balancer.Upstream
	queried map[*balancer.Upstream]bool
}

func (p *queryingPicker) QueryTargets(_ balancer.PickInfo, _ int) []*balancer.Upstream {
	var out []*balancer.Upstream
	for _, u := range p.members {
		if !p.queried[u] {
			out = append(out, u)
		}
	}
	return out
}

func (p *queryingPicker) Pick(balancer.PickInfo) (balancer.Result, error) {
	return balancer.Result{Upstream: p.members[len(p.members)-1]}, nil
}

type querierFunc func([]*balancer.Upstream)

func (f querierFunc) Query(_ context.Context, _ *routing.Group, list []*balancer.Upstream) { f(list) }

// TestQuestionsAreBounded uses a policy that requests load queries without end. The queries
// that are sent must not exceed the budget.
func TestQuestionsAreBounded(t *testing.T) {
	is := is.New(t)
	s := registeredService(lookup(), map[string]int{"a": 1})
	s.Groups[0].HealthPath = "/health"
	picker := &queryingPicker{members: []*balancer.Upstream{{ID: "a-1"}, {ID: "a-2"}}}
	queries := 0
	sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		return &httpwire.Response{Status: 200, Header: http.Header{testSignature: {"s"}}}, nil
	})
	p := New("127.0.0.1", "test", sender, event.Discard{}, WithRandom(seeded(1)), WithDialect(testDialect()),
		WithLoadQuerier(querierFunc(func(list []*balancer.Upstream) { queries += len(list) })))
	p.SetTable(routing.Compile(1, []*config.Service{s}, groupsFunc(func(_ *config.Service, g *config.Group) *routing.Group {
		return &routing.Group{Config: g, Picker: picker}
	})))
	for range 50 {
		is.Equal(p.Serve(t.Context(), dialectRequest("GET")).Status, 200)
	}
	is.Equal(queries, 50*queriesPerRequest)
}

func TestLooksEarnQuestions(t *testing.T) {
	is := is.New(t)
	var q queryBudget
	q.addRequest()
	is.Equal(q.take(2*queriesPerRequest), queriesPerRequest)
	q.addRecheck()
	is.Equal(q.take(queriesPerRequest), queriesPerRecheck)
	for range 2 * maxSavedQueries {
		q.addRecheck()
	}
	is.Equal(q.take(2*maxSavedQueries), maxSavedQueries)
}
