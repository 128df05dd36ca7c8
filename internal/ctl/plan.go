package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

const outFileMode = 0o644

// planFlags are the flags that all planning commands have.
type planFlags struct {
	expect string
	out    string
}

func (p *planFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&p.expect, "expect", "", "version that the change is based on, REVISION@DIGEST; a conflict if another one is in force (default any)")
	cmd.Flags().StringVar(&p.out, "out", "", "file to write the exact document to publish to (default not written)")
}

// planFunc makes a planning call.
type planFunc func(ctx context.Context, c operatorv1.OperatorClient, opts *operatorv1.PlanOptions) (*operatorv1.Plan, error)

// plan makes a planning call, writes the document if --out is set, and prints the plan.
func (a *app) plan(cmd *cobra.Command, flags *planFlags, call planFunc) error {
	expected, err := parseVersion(flags.expect)
	if err != nil {
		return withCode(Usage, err)
	}
	opts := &operatorv1.PlanOptions{Expected: expected, Operator: a.operator}
	return a.call(cmd, func(ctx context.Context, c operatorv1.OperatorClient) error {
		p, err := call(ctx, c, opts)
		if err != nil {
			return err
		}
		if flags.out != "" && !p.GetDelete() {
			if err := os.WriteFile(flags.out, p.GetDocument(), outFileMode); err != nil {
				return errors.Wrap(err, "write document")
			}
		}
		return a.printValue(newPlannedChange(p), func(w io.Writer) { planTable(w, p, flags.out) })
	})
}

// plannedChange is a plan in JSON and YAML output. The document is embedded as JSON instead
// of encoded bytes.
type plannedChange struct {
	Key          string              `json:"key"`
	Base         string              `json:"base"`
	Delete       bool                `json:"delete"`
	Digest       string              `json:"digest"`
	Differences  []plannedDifference `json:"differences"`
	Consequences []string            `json:"consequences"`
	Warnings     []string            `json:"warnings"`
	Document     json.RawMessage     `json:"document"`
}

// plannedDifference is a changed field with its old and new values.
type plannedDifference struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old"`
	New   json.RawMessage `json:"new"`
}

func newPlannedChange(p *operatorv1.Plan) plannedChange {
	view := plannedChange{
		Key:          p.GetKey(),
		Base:         versionText(p.GetBase()),
		Delete:       p.GetDelete(),
		Digest:       digestText(p.GetDigest()),
		Differences:  []plannedDifference{},
		Consequences: append([]string{}, p.GetConsequences()...),
		Warnings:     append([]string{}, p.GetWarnings()...),
		Document:     rawJSON(p.GetDocument()),
	}
	for _, d := range p.GetDifferences() {
		view.Differences = append(view.Differences, plannedDifference{d.GetField(), rawJSON([]byte(d.GetOld())), rawJSON([]byte(d.GetNew()))})
	}
	return view
}

// rawJSON returns b, or null if b is empty.
func rawJSON(b []byte) json.RawMessage {
	if len(b) == 0 {
		return json.RawMessage("null")
	}
	return b
}

func planTable(w io.Writer, p *operatorv1.Plan, out string) {
	row(w, "key", p.GetKey())
	row(w, "base", versionText(p.GetBase()))
	row(w, "digest", digestText(p.GetDigest()))
	if len(p.GetDifferences()) == 0 {
		fmt.Fprintln(w, "\nnothing changes")
		return
	}
	fmt.Fprintln(w, "\nchanges")
	for _, d := range p.GetDifferences() {
		fmt.Fprintln(w, "  "+differenceText(d))
	}
	section(w, "consequences", p.GetConsequences())
	section(w, "warnings", p.GetWarnings())
	fmt.Fprintln(w, "\nnothing has been changed; "+nextStep(p, out))
	fmt.Fprintf(w, "then: spindlectl follow %s --digest %s --base %d\n", p.GetKey(), digestText(p.GetDigest()), p.GetBase().GetRevision())
}

func section(w io.Writer, title string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintln(w, "\n"+title)
	for _, l := range lines {
		fmt.Fprintln(w, "  "+l)
	}
}

func nextStep(p *operatorv1.Plan, out string) string {
	switch {
	case p.GetDelete():
		return "delete the key " + p.GetKey() + " on the platform"
	case out == "":
		return "add --out FILE to get the document to publish"
	default:
		return fmt.Sprintf("publish %s (%d bytes) as %s", out, len(p.GetDocument()), p.GetKey())
	}
}

func differenceText(d *operatorv1.Difference) string {
	switch d.GetOperation() {
	case operatorv1.Difference_OPERATION_ADDED:
		return "+ " + d.GetField() + ": " + d.GetNew()
	case operatorv1.Difference_OPERATION_REMOVED:
		return "- " + d.GetField() + ": " + d.GetOld()
	default:
		return "~ " + d.GetField() + ": " + d.GetOld() + " -> " + d.GetNew()
	}
}
