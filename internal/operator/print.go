package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
)

// Format selects how results are printed.
type Format string

// Output formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
	FormatYAML  Format = "yaml"
)

// Table is the result of a command. The cells of a row are in the order of the columns.
type Table struct {
	Columns []string
	Rows    [][]string
	// Summary is a line printed below the table, if not empty.
	Summary string
}

// document is the form of a Table in JSON and YAML.
type document struct {
	Rows    []map[string]string `json:"rows" yaml:"rows"`
	Summary string              `json:"summary,omitempty" yaml:"summary,omitempty"`
}

func (t Table) document() document {
	doc := document{Rows: make([]map[string]string, 0, len(t.Rows)), Summary: t.Summary}
	for _, cells := range t.Rows {
		row := make(map[string]string, len(cells))
		for i, cell := range cells {
			row[t.Columns[i]] = cell
		}
		doc.Rows = append(doc.Rows, row)
	}
	return doc
}

func (a *App) print(t Table) error {
	switch a.conf.Output {
	case FormatJSON:
		encoder := json.NewEncoder(a.conf.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(t.document())
	case FormatYAML:
		return yaml.NewEncoder(a.conf.Out).Encode(t.document())
	default:
		return a.printTable(t)
	}
}

func (a *App) printTable(t Table) error {
	w := tabwriter.NewWriter(a.conf.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(t.Columns, "\t")))
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if t.Summary != "" {
		fmt.Fprintln(a.conf.Out, t.Summary)
	}
	return nil
}
