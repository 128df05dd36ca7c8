package statechart

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/yaml.v3"
)

// Limits of one chart, given by the types State, Event and Effects.
const (
	maxStates  = 255
	maxEvents  = 255
	maxEffects = 32
)

// Problem is one error in a chart file.
type Problem struct {
	// Line is the line number, from 1; 0 stands for the whole file.
	Line int
	// Text describes the error.
	Text string
}

// FileError lists the errors in one chart file.
type FileError struct {
	// File is the name of the file.
	File string
	// Problems are the errors in the order in which they were found.
	Problems []Problem
}

// Error implements error, with one line "file:line: text" per problem.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s:%d: %s", e.File, p.Line, p.Text)
	}
	return strings.Join(lines, "\n")
}

// parser builds the chart and collects the problems of one file.
type parser struct {
	chart    *Chart
	problems []Problem
}

func (p *parser) report(line int, format string, args ...any) {
	p.problems = append(p.problems, Problem{line, fmt.Sprintf(format, args...)})
}

// Parse parses and validates a chart. The error is a *FileError with every
// problem.
func Parse(file string, content []byte) (*Chart, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil {
		return nil, &FileError{file, []Problem{{0, err.Error()}}}
	}
	p := &parser{chart: &Chart{}}
	if len(root.Content) == 0 {
		p.report(0, "the file is empty")
	} else {
		p.parseChart(&root, root.Content[0])
	}
	if len(p.problems) == 0 {
		p.check()
	}
	if len(p.problems) > 0 {
		return nil, &FileError{file, p.problems}
	}
	p.chart.compile()
	return p.chart, nil
}

func (p *parser) parseChart(root, n *yaml.Node) {
	c := p.chart
	fields := p.fields(n, "name", "initial", "events", "effects", "states", "arrows")
	c.doc = comment(root, n)
	c.name = p.text(n, fields["name"], "name")
	c.events = p.items(fields["events"], maxEvents)
	c.effects = p.items(fields["effects"], maxEffects)
	c.states = p.items(fields["states"], maxStates)
	if len(c.states) == 0 {
		p.report(n.Line, "there are no states")
	}
	if initial := fields["initial"]; initial == nil {
		p.report(n.Line, "initial is missing")
	} else {
		c.initial = State(p.lookup("state", c.states, initial))
	}
	for _, a := range p.list(fields["arrows"]) {
		p.parseTransition(a)
	}
}

// comment returns the text of the comment at the start of the file.
func comment(nodes ...*yaml.Node) string {
	for _, n := range append(nodes, nodes[len(nodes)-1].Content...) {
		if text := strings.TrimSpace(strings.TrimPrefix(n.HeadComment, "#")); text != "" {
			return strings.ReplaceAll(text, "\n# ", " ")
		}
	}
	return ""
}

func (p *parser) parseTransition(n *yaml.Node) {
	c := p.chart
	f := p.fields(n, "from", "event", "to", "do")
	for _, k := range []string{"from", "event", "to"} {
		if f[k] == nil {
			p.report(n.Line, "the transition has no %s", k)
			return
		}
	}
	a := transition{line: n.Line}
	a.Event = Event(p.lookup("event", c.events, f["event"]))
	a.To = State(p.lookup("state", c.states, f["to"]))
	for _, e := range p.list(f["do"]) {
		a.Effects |= 1 << p.lookup("effect", c.effects, e)
	}
	sources := []*yaml.Node{f["from"]}
	if f["from"].Kind == yaml.SequenceNode {
		sources = f["from"].Content
	}
	for _, from := range sources {
		a.From = State(p.lookup("state", c.states, from))
		c.transitions = append(c.transitions, a)
	}
}

// fields returns the values of a mapping by key.
func (p *parser) fields(n *yaml.Node, allowed ...string) map[string]*yaml.Node {
	out := make(map[string]*yaml.Node)
	if n.Kind != yaml.MappingNode {
		p.report(n.Line, "not a mapping with the keys %s", strings.Join(allowed, ", "))
		return out
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		switch {
		case !slices.Contains(allowed, key.Value):
			p.report(key.Line, "unknown key %q; known are %s", key.Value, strings.Join(allowed, ", "))
		case out[key.Value] != nil:
			p.report(key.Line, "duplicate key %q", key.Value)
		}
		out[key.Value] = n.Content[i+1]
	}
	return out
}

func (p *parser) list(n *yaml.Node) []*yaml.Node {
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		p.report(n.Line, "not a list")
		return nil
	}
	return n.Content
}

func (p *parser) text(parent, n *yaml.Node, field string) string {
	if n == nil || n.Kind != yaml.ScalarNode || n.Value == "" {
		p.report(parent.Line, "%s is missing or not a string", field)
		return ""
	}
	return n.Value
}

func (p *parser) items(n *yaml.Node, limit int) []item {
	var out []item
	for _, entry := range p.list(n) {
		f := p.fields(entry, "name", "doc", "final")
		declared := item{Name: p.text(entry, f["name"], "name"), Doc: p.text(entry, f["doc"], "doc"), line: entry.Line}
		if final := f["final"]; final != nil {
			declared.Final = final.Value == "true"
		}
		if indexOf(out, declared.Name) >= 0 {
			p.report(entry.Line, "%q is declared twice", declared.Name)
		}
		out = append(out, declared)
	}
	if len(out) > limit {
		p.report(n.Line, "%d entries; at most %d are allowed", len(out), limit)
	}
	return out
}

// lookup returns the index of the declared name, or reports a problem and
// returns 0.
func (p *parser) lookup(kind string, items []item, n *yaml.Node) int {
	i := indexOf(items, n.Value)
	if i < 0 {
		p.report(n.Line, "unknown %s %q", kind, n.Value)
		return 0
	}
	return i
}
