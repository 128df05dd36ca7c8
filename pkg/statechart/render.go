package statechart

import (
	"fmt"
	"strings"
)

// Markdown renders the chart as a section of docs/CHARTS.md: a diagram and tables
// that describe its states, events and effects.
func (c *Chart) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s\n\n```mermaid\nstateDiagram-v2\n", c.name, c.doc)
	fmt.Fprintf(&b, "    [*] --> %s\n", diagramName(c.StateName(c.initial)))
	for _, a := range c.transitions {
		fmt.Fprintf(&b, "    %s --> %s: %s%s\n", diagramName(c.StateName(a.From)),
			diagramName(c.StateName(a.To)), c.EventName(a.Event), c.effectText(a.Effects))
	}
	for _, s := range c.states {
		if s.Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", diagramName(s.Name))
		}
	}
	b.WriteString("```\n")
	writeItems(&b, "state", c.states)
	writeItems(&b, "event", c.events)
	writeItems(&b, "effect", c.effects)
	return b.String()
}

// diagramName replaces the dashes in a name, which Mermaid does not accept in
// state names.
func diagramName(name string) string { return strings.ReplaceAll(name, "-", "_") }

func (c *Chart) effectText(e Effects) string {
	var names []string
	for i := range c.effects {
		if e.Has(1 << i) {
			names = append(names, c.effects[i].Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return " / " + strings.Join(names, ", ")
}

func writeItems(b *strings.Builder, kind string, items []item) {
	if len(items) == 0 {
		return
	}
	fmt.Fprintf(b, "\n| %s | meaning |\n|---|---|\n", kind)
	for _, it := range items {
		doc := it.Doc
		if it.Final {
			doc += " Final."
		}
		fmt.Fprintf(b, "| %s | %s |\n", it.Name, doc)
	}
}
