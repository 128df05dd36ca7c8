package statechart

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validChart = `# A door.
name: door
initial: closed
events:
  - {name: open, doc: It is opened.}
  - {name: shut, doc: It is shut.}
  - {name: burn, doc: It burns.}
effects:
  - {name: ring, doc: A bell rings.}
states:
  - {name: closed, doc: Closed.}
  - {name: opened, doc: Open.}
  - {name: gone, doc: Gone., final: true}
arrows:
  - {from: closed, event: open, to: opened, do: [ring]}
  - {from: opened, event: shut, to: closed}
  - {from: [closed, opened], event: burn, to: gone}
`

func TestStep(t *testing.T) {
	is := is.New(t)
	c, err := Parse("door.yaml", []byte(validChart))
	is.NoErr(err)
	s, effects, err := c.Step(c.Initial(), c.MustEvent("open"))
	is.NoErr(err)
	is.Equal(c.StateName(s), "opened")
	is.True(effects.Has(c.MustEffect("ring")))
	same, _, err := c.Step(s, c.MustEvent("open"))
	is.Equal(same, s)
	var missing *NoTransitionError
	is.True(errors.As(err, &missing))
	is.Equal(*missing, NoTransitionError{"door", "opened", "open"})
	s, _, err = c.Step(s, c.MustEvent("burn"))
	is.NoErr(err)
	is.True(c.IsFinal(s))
	is.True(strings.Contains(c.Markdown(), "closed --> opened: open / ring"))
	is.True(strings.Contains(c.Markdown(), "A door."))
}

func TestProblemsHaveFileAndLine(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown event", "event: shut", "event: slam", `door.yaml:16: unknown event "slam"`},
		{"unknown state", "to: gone", "to: lost", `door.yaml:17: unknown state "lost"`},
		{"unknown effect", "do: [ring]", "do: [sing]", `door.yaml:15: unknown effect "sing"`},
		{"unreachable", "  - {name: gone,", "  - {name: attic, doc: x, final: true}\n  - {name: gone,", "door.yaml:13: state attic is unreachable"},
		{"two transitions", "event: shut, to: closed}", "event: burn, to: closed}", "door.yaml:17: state opened has a second transition for event burn; the first is on line 16"},
		{"no initial", "initial: closed\n", "", "initial is missing"},
		{"dead end", ", final: true", "", "door.yaml:13: state gone has no transition to another state and is not marked final"},
		{"final left", "from: [closed, opened], event: burn", "from: [closed, gone], event: burn", "final state gone has a transition"},
		{"unused event", "event: shut, to: closed}", "event: open, to: closed}", "door.yaml:6: event shut has no transition"},
		{"unused effect", ", do: [ring]", "", "door.yaml:9: effect ring is never used"},
		{"unknown key", "initial:", "first:", `door.yaml:3: unknown key "first"`},
		{"declared twice", "{name: shut,", "{name: open,", `"open" is declared twice`},
		{"not a mapping", validChart, "- a", "door.yaml:1: not a mapping"},
		{"empty", validChart, "", "the file is empty"},
		{"transition without target", "event: shut, to: closed", "event: shut", "the transition has no to"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validChart, tt.old, tt.new, 1)
			is.True(text != validChart)
			_, err := Parse("door.yaml", []byte(text))
			var file *FileError
			is.True(errors.As(err, &file))
			t.Log(err)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

// FuzzParse checks that no input makes the parser or the renderer panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validChart))
	f.Fuzz(func(t *testing.T, content []byte) {
		c, err := Parse("x", content)
		if err == nil {
			_ = c.Markdown()
		}
	})
}
