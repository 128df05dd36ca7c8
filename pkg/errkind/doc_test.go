package errkind_test

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

// row matches "| `name` | status | outcome | yes or no | ...".
var row = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| (\\d+) \\| ([a-z-]+) \\| (yes|no) \\| ([^|]+) \\|$")

// TestPageListsEveryKind checks that each row of docs/ERRORS.md matches the table of kinds.
func TestPageListsEveryKind(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/ERRORS.md")
	is.NoErr(err)
	rows := row.FindAllStringSubmatch(string(page), -1)
	kinds := errkind.All()
	is.Equal(len(rows), len(kinds))
	for i, k := range kinds {
		answer := k.Answer()
		retryAfter := "no"
		if answer.RetryAfter {
			retryAfter = "yes"
		}
		is.Equal(rows[i][1:5], []string{answer.Name, strconv.Itoa(answer.Status), answer.Outcome.String(), retryAfter})
		is.True(len(strings.TrimSpace(rows[i][5])) > 20)
	}
}
