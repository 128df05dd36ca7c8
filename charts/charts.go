// Package charts holds the state charts of the product, read from the files
// beside it and checked when the program starts.
package charts

import (
	"embed"
	"strings"

	"github.com/dapplespindle/dapplespindle/pkg/statechart"
)

//go:embed *.yaml
var files embed.FS

// The charts of the product.
var (
	// Configuration is the configuration of one entry host.
	Configuration = must("configuration")
	// EntryHost is the lifecycle of an entry host process.
	EntryHost = must("entry-host")
	// Request is one request on one entry host.
	Request = must("request")
	// Upstream is the lifecycle of an upstream.
	Upstream = must("upstream")
)

// All returns every chart, by name.
func All() []*statechart.Chart {
	return []*statechart.Chart{Configuration, EntryHost, Request, Upstream}
}

// must reads a chart. A wrong chart is a fault of the program, found at start.
func must(name string) *statechart.Chart {
	file := name + ".yaml"
	content, err := files.ReadFile(file)
	if err != nil {
		panic(err)
	}
	chart, err := statechart.Parse("charts/"+file, content)
	if err != nil {
		panic(err)
	}
	if chart.Name() != name {
		panic("charts/" + file + ": the chart's name is " + chart.Name())
	}
	return chart
}

const pageHead = `# State charts

Rendered from charts/*.yaml. A test compares this page with them;
` + "`make charts`" + ` writes it anew.

Every chart is checked when the program starts. The daemon interprets two:
upstream and entry-host, in ` + "`pkg/lifecycle`" + `. Configuration and request are
descriptions so far: the code follows them, but no step goes through the chart.

`

// Page renders docs/CHARTS.md.
func Page() string {
	sections := make([]string, 0, len(All()))
	for _, c := range All() {
		sections = append(sections, c.Markdown())
	}
	return pageHead + strings.Join(sections, "\n")
}
