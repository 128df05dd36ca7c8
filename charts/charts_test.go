package charts

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/statechart"
)

const page = "../docs/CHARTS.md"

// TestPage checks docs/CHARTS.md against the charts; CHARTS_WRITE=1 rewrites the page.
func TestPage(t *testing.T) {
	is := is.New(t)
	if os.Getenv("CHARTS_WRITE") == "1" {
		is.NoErr(os.WriteFile(page, []byte(Page()), 0o644))
	}
	got, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(string(got), Page()) // run make charts
}

func TestEveryFileIsLoaded(t *testing.T) {
	is := is.New(t)
	entries, err := files.ReadDir(".")
	is.NoErr(err)
	is.Equal(len(entries), len(All()))
}

// TestStepAllocatesNothing covers a step with and without a transition.
func TestStepAllocatesNothing(t *testing.T) {
	is := is.New(t)
	route, answer := Request.MustEvent("route"), Request.MustEvent("answer")
	allocs := testing.AllocsPerRun(1000, func() {
		_, _, _ = Request.Step(Request.Initial(), route)
		_, _, _ = Request.Step(Request.Initial(), answer)
	})
	is.Equal(allocs, 0.0)
}

// BenchmarkRequest measures the steps of one answered request.
func BenchmarkRequest(b *testing.B) {
	events := []statechart.Event{
		Request.MustEvent("route"), Request.MustEvent("send"), Request.MustEvent("answer"),
	}
	b.ReportAllocs()
	steps := 0
	for b.Loop() {
		s := Request.Initial()
		for _, e := range events {
			s, _, _ = Request.Step(s, e)
			steps++
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(steps), "ns/step")
}
