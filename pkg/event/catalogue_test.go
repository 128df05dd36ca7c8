package event

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

const docsPath = "../../docs/EVENTS.md"

// subsystems names the subsystem of each range of codes, indexed by code / codesPerSubsystem.
var subsystems = []string{
	1: "The process", 2: "Configuration", 3: "Requests", 4: "Retries and hedging", 5: "Limits and overload",
	6: "Membership of entry hosts", 7: "Load measurement of upstreams", 8: "Lifecycle of upstreams and draining",
	9: "At-most-once execution", 10: "Violated invariants",
}

const codesPerSubsystem = 1000

var levelNames = [...]string{Debug: "debug", Info: "info", Warn: "warn", Error: "error"}

// TestDocs checks docs/EVENTS.md against Catalogue; -update rewrites the page.
func TestDocs(t *testing.T) {
	is := is.New(t)
	want := docs()
	if *update {
		is.NoErr(os.WriteFile(docsPath, []byte(want), 0o644))
	}
	got, err := os.ReadFile(docsPath)
	is.NoErr(err)
	is.Equal(string(got), want) // run go test ./pkg/event -update
}

func TestEveryEntryIsComplete(t *testing.T) {
	is := is.New(t)
	names := make(map[string]Code)
	for code, e := range Catalogue {
		is.True(e.Name != "")                                    // no name
		is.True(strings.HasSuffix(e.Meaning, "."))               // the meaning is a sentence
		is.Equal(names[e.Name], Code(0))                         // the name is used twice
		is.True(int(code)/codesPerSubsystem < len(subsystems))   // a code outside the ranges
		is.True(code >= codesPerSubsystem)                       // a code outside the ranges
		is.True(e.Level <= Error)                                // unknown level
		is.True(!strings.Contains(e.Name+e.Meaning+e.Unit, "|")) // would break the table
		names[e.Name] = code
	}
}

func docs() string {
	var b strings.Builder
	b.WriteString(docsHead)
	current := ""
	for _, code := range slices.Sorted(maps.Keys(Catalogue)) {
		if s := subsystemOf(code); s != current {
			current = s
			fmt.Fprintf(&b, "\n## %s\n\n| code | name | level | meaning | value |\n|---|---|---|---|---|\n", s)
		}
		e := Catalogue[code]
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", code, e.Name, levelNames[e.Level], e.Meaning, e.Unit)
	}
	return b.String()
}

func subsystemOf(c Code) string { return subsystems[int(c)/codesPerSubsystem] }

const docsHead = `# Decision events

Generated from ` + "`pkg/event`" + `; ` + "`go test ./pkg/event -update`" + ` rewrites this page.

Each decision is an event with a code that is stable and never reused. It goes
to the log (one JSON line, ` + "`event`" + ` is the code), to the event ring of its entry
host (` + "`spindlectl watch`" + `, ` + "`spindlectl explain`" + `), to the metrics, and to the span
of its hop if tracing is enabled. The value is the quantity that the decision was
based on, in the unit of the last column.

Debug events are sampled on an entry host that emits more of them per second
than its budget: all events of one request in 16 are kept. Events of a higher
level are never sampled. Events that were not kept are counted: see
` + "`spindlectl status`" + ` and docs/METRICS.md.
`
