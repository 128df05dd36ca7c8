package config

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var jsonBlock = regexp.MustCompile("(?s)```json\n(.*?)```")

// TestDocumentedFields checks that the examples in docs/CONFIGURATION.md are valid
// and that the page has a row for every field.
func TestDocumentedFields(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	is.NoErr(err)
	blocks := jsonBlock.FindAllSubmatch(page, -1)
	is.True(len(blocks) > 0)
	for _, b := range blocks {
		_, err := Parse(b[1])
		is.NoErr(err)
	}
	for _, field := range fields("", reflect.TypeFor[Service]()) {
		if !strings.Contains(string(page), "| `"+field+"` |") {
			t.Errorf("docs/CONFIGURATION.md has no row for %s", field)
		}
	}
}

func fields(prefix string, t reflect.Type) []string {
	var out []string
	for f := range reflectFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		path := prefix + name
		inner := f.Type
		if inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct {
			inner = inner.Elem()
			path += "[]"
		}
		if inner.Kind() == reflect.Struct {
			out = append(out, fields(path+".", inner)...)
			continue
		}
		out = append(out, path)
	}
	return out
}

func reflectFields(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}
