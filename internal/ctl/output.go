package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"gopkg.in/yaml.v3"
)

const tablePadding = 2

// print writes a message as JSON or YAML, or calls table.
func (a *app) print(m proto.Message, table func(w io.Writer)) error {
	if a.output == "table" {
		return a.table(table)
	}
	b, err := protojson.MarshalOptions{UseProtoNames: true, EmitDefaultValues: true}.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode response")
	}
	return a.printJSON(b)
}

// printValue is like print, for a value that is not a protobuf message.
func (a *app) printValue(v any, table func(w io.Writer)) error {
	if a.output == "table" {
		return a.table(table)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	return a.printJSON(b)
}

func (a *app) table(table func(w io.Writer)) error {
	w := tabwriter.NewWriter(a.env.Stdout, 0, 0, tablePadding, ' ', 0)
	table(w)
	return w.Flush()
}

func (a *app) printJSON(b []byte) error {
	if a.output == "yaml" {
		return writeYAML(a.env.Stdout, b)
	}
	var out bytes.Buffer
	if err := json.Indent(&out, b, "", "  "); err != nil {
		return errors.Wrap(err, "indent JSON")
	}
	out.WriteByte('\n')
	_, err := out.WriteTo(a.env.Stdout)
	return err
}

// writeYAML converts JSON to YAML and keeps the order of the keys.
func writeYAML(w io.Writer, b []byte) error {
	var doc yaml.Node
	if err := yaml.Unmarshal(b, &doc); err != nil {
		return errors.Wrap(err, "parse JSON as YAML")
	}
	clearStyle(&doc)
	enc := yaml.NewEncoder(w)
	enc.SetIndent(2)
	if err := enc.Encode(&doc); err != nil {
		return errors.Wrap(err, "write YAML")
	}
	return enc.Close()
}

// clearStyle removes JSON's braces and quotes. A string that would be parsed as another
// type without quotes keeps them, because of its tag.
func clearStyle(n *yaml.Node) {
	n.Style = 0
	for _, c := range n.Content {
		clearStyle(c)
	}
}

// readFile reads a file, or the standard input if path is "-".
func (a *app) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(a.env.Stdin)
	}
	return os.ReadFile(path)
}

// row writes a row of a table.
func row(w io.Writer, cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(w, strings.Join(text, "\t"))
}
