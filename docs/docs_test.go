// Package docs checks the pages of this folder against the tree.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/pflag"

	"github.com/dapplespindle/dapplespindle/internal/settings"
)

const root = ".."

// pagesWithoutLink need no entry in the index.
var pagesWithoutLink = map[string]bool{"INDEX.md": true}

var (
	// fence is a block of code, which holds no links.
	fence = regexp.MustCompile("(?s)```.*?```")
	// link is the target of a Markdown link, without its anchor.
	link = regexp.MustCompile(`\]\(([^)#\s]*)[^)]*\)`)
	// code is a span or an indented line of code.
	code = regexp.MustCompile("`[^`\n]+`|(?m)^(?:    |\t).*$")
	// flagName is a flag in a span of code.
	flagName = regexp.MustCompile("(?:^|[\\s`\\[])--([a-z][a-z0-9-]*)")
	// variable is an environment variable of ours.
	variable = regexp.MustCompile(`DAPPLESPINDLE_([A-Z][A-Z_]*[A-Z])`)
	// registered is the name in a call that registers a flag.
	registered = regexp.MustCompile(`\.[A-Z]\w*VarP?\([^"\n]+"([a-z][a-z0-9-]*)"`)
)

// foreignFlags are those of cobra, and of programs that are not ours.
var foreignFlags = map[string]bool{"help": true, "version": true}

// files returns the files below dir with the given ending.
func files(t *testing.T, dir, ending string) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err == nil && !e.IsDir() && strings.HasSuffix(path, ending) {
			out = append(out, path)
		}
		return err
	})
	is.New(t).NoErr(err)
	return out
}

func read(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	return string(content)
}

// pages returns the pages of the project.
func pages(t *testing.T) []string {
	t.Helper()
	return append(files(t, ".", ".md"), root+"/README.md", root+"/CONTRIBUTING.md")
}

// links returns the paths that a page links to, relative to this folder.
func links(t *testing.T, page string) []string {
	t.Helper()
	var out []string
	for _, m := range link.FindAllStringSubmatch(fence.ReplaceAllString(read(t, page), ""), -1) {
		if m[1] != "" && !strings.Contains(m[1], "://") {
			out = append(out, filepath.Join(filepath.Dir(page), m[1]))
		}
	}
	return out
}

func TestLinksLeadSomewhere(t *testing.T) {
	for _, page := range pages(t) {
		for _, target := range links(t, page) {
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
	}
}

func TestIndexListsEveryPage(t *testing.T) {
	listed := make(map[string]bool)
	for _, target := range links(t, "INDEX.md") {
		listed[target] = true
	}
	for _, page := range files(t, ".", ".md") {
		if !listed[page] && !pagesWithoutLink[page] {
			t.Errorf("docs/INDEX.md does not list %s", page)
		}
	}
}

// registeredFlags returns the flags of all programs. Those that the source
// names with a prefix come from the sets that register them.
func registeredFlags(t *testing.T) map[string]bool {
	t.Helper()
	known := make(map[string]bool)
	set := pflag.NewFlagSet("", pflag.ContinueOnError)
	(&settings.Entry{}).Register(set)
	(&settings.TLS{}).Register(set, "tls", "")
	set.VisitAll(func(f *pflag.Flag) { known[f.Name] = true })
	for _, dir := range []string{root + "/cmd", root + "/internal", root + "/platform"} {
		for _, file := range files(t, dir, ".go") {
			for _, m := range registered.FindAllStringSubmatch(read(t, file), -1) {
				known[m[1]] = true
			}
		}
	}
	return known
}

func TestFlagsExist(t *testing.T) {
	known := registeredFlags(t)
	checked := 0
	for _, page := range pages(t) {
		for _, span := range code.FindAllString(read(t, page), -1) {
			for _, m := range flagName.FindAllStringSubmatch(span, -1) {
				checked++
				if !known[m[1]] && !foreignFlags[m[1]] {
					t.Errorf("%s: no program has the flag --%s", page, m[1])
				}
			}
		}
	}
	is.New(t).True(checked > 0)
}

// TestVariablesExist checks the environment variables, whose names follow from
// the flags.
func TestVariablesExist(t *testing.T) {
	known := registeredFlags(t)
	for _, page := range pages(t) {
		for _, m := range variable.FindAllStringSubmatch(read(t, page), -1) {
			flag := strings.ReplaceAll(strings.ToLower(m[1]), "_", "-")
			if !known[flag] {
				t.Errorf("%s: no program reads %s", page, m[0])
			}
		}
	}
}
