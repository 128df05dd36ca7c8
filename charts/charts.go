// Package charts holds the state charts of the product. They are embedded YAML files that
// are parsed and checked when the program starts.
package charts

import (
	"embed"
	"strings"

	"github.com/dapplespindle/dapplespindle/pkg/statechart"
)

//go:embed *.yaml
var files embed.FS

// The state charts of the product.
var (
	// Configuration is the state of the configuration of one entry host.
	Configuration = must("configuration")
	// EntryHost is the lifecycle of an entry host process.
	EntryHost = must("entry-host")
	// Request is the lifecycle of one request on one entry host.
	Request = must("request")
	// Upstream is the lifecycle of an upstream, as one entry host sees it.
	Upstream = must("upstream")
)

// All returns every chart, by name.
func All() []*statechart.Chart {
	return []*statechart.Chart{Configuration, EntryHost, Request, Upstream}
}

// must parses an embedded chart. It panics if the chart is invalid, so that the programming
// error shows at start-up.
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
` + "`make charts`" + ` rewrites it.

Every chart is checked when the program starts. The daemon interprets two:
upstream and entry-host, in ` + "`pkg/lifecycle`" + `. Configuration and request only
describe the code so far: it follows them, but does not step through the charts.

`

// Page renders docs/CHARTS.md.
func Page() string {
	sections := make([]string, 0, len(All()))
	for _, c := range All() {
		sections = append(sections, c.Markdown())
	}
	return pageHead + strings.Join(sections, "\n")
}
