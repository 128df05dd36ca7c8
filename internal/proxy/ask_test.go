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

// askPicker asks for its members until they were asked.
type askPicker struct {
	members []*balancer.Upstream
	asked   map[*balancer.Upstream]bool
}

func (p *askPicker) QueryTargets(_ balancer.PickInfo, _ int) []*balancer.Upstream {
	var out []*balancer.Upstream
	for _, u := range p.members {
		if !p.asked[u] {
			out = append(out, u)
		}
	}
	return out
}

func (p *askPicker) Pick(balancer.PickInfo) (balancer.Result, error) {
	return balancer.Result{Upstream: p.members[len(p.members)-1]}, nil
}

type askerFunc func([]*balancer.Upstream)

func (f askerFunc) Query(_ context.Context, _ *routing.Group, list []*balancer.Upstream) { f(list) }

// TestQuestionsAreBounded asks for ever, and is cut at what requests allow.
func TestQuestionsAreBounded(t *testing.T) {
	is := is.New(t)
	s := registeredService(lookup(), map[string]int{"a": 1})
	s.Groups[0].HealthPath = "/health"
	picker := &askPicker{members: []*balancer.Upstream{{ID: "a-1"}, {ID: "a-2"}}}
	asked := 0
	sender := senderFunc(func(context.Context, string, *httpwire.Request) (*httpwire.Response, *errkind.Error) {
		return &httpwire.Response{Status: 200, Header: http.Header{testSignature: {"s"}}}, nil
	})
	p := New("127.0.0.1", "test", sender, event.Discard{}, WithRandom(seeded(1)), WithDialect(testDialect()),
		WithLoadQuerier(askerFunc(func(list []*balancer.Upstream) { asked += len(list) })))
	p.SetTable(routing.Compile(1, []*config.Service{s}, groupsFunc(func(_ *config.Service, g *config.Group) *routing.Group {
		return &routing.Group{Config: g, Picker: picker}
	})))
	for range 50 {
		is.Equal(p.Serve(t.Context(), dialectRequest("GET")).Status, 200)
	}
	is.Equal(asked, 50*questionsPerRequest)
}

func TestLooksEarnQuestions(t *testing.T) {
	is := is.New(t)
	var q questions
	q.arrived()
	is.Equal(q.take(2*questionsPerRequest), questionsPerRequest)
	q.looked()
	is.Equal(q.take(questionsPerRequest), questionsPerLook)
	for range 2 * maxQuestions {
		q.looked()
	}
	is.Equal(q.take(2*maxQuestions), maxQuestions)
}
