package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/harrierreel/harrierreel/internal/pipefile"
)

// jsonOutput reports whether the output format is JSON lines.
func (a *app) jsonOutput() bool { return a.output == "json" }

// printf prints a result. It ignores write errors: there is no other way to report them to the
// user, and the exit code is for the result of the command itself.
func (a *app) printf(format string, args ...any) { _, _ = fmt.Fprintf(a.out, format, args...) }

// printErrf prints an error or a progress message. It ignores write errors, as printf does.
func (a *app) printErrf(format string, args ...any) { _, _ = fmt.Fprintf(a.errOut, format, args...) }

// progress prints a progress message.
func (a *app) progress(text string) { a.printErrf("harrierreel: %s\n", text) }

// printJSON prints a value as a line of JSON.
func (a *app) printJSON(v any) {
	encoded, err := json.Marshal(v)
	if err != nil {
		return
	}
	a.printf("%s\n", encoded)
}

// reportFaults prints the faults of a pipeline or job file and returns an error with ExitUsage.
func (a *app) reportFaults(faults []pipefile.Fault) error {
	for _, f := range faults {
		if !a.jsonOutput() {
			a.printErrf("%s\n", f.Error())
			continue
		}
		a.printJSON(map[string]any{
			"event":  "fault",
			"file":   f.File,
			"line":   f.Line,
			"column": f.Column,
			"path":   f.Path,
			"want":   f.Want,
		})
	}
	return &ExitError{Code: ExitUsage}
}

// table prints rows with aligned columns. Cells are separated by tabs.
type table struct{ w *tabwriter.Writer }

// newTable returns a table with left-aligned columns that prints to w.
func newTable(w io.Writer) table {
	return table{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
}

// row adds a row of at least two cells. Rows are buffered until flush, which returns any error of
// the underlying writer.
func (t table) row(format string, args ...any) { _, _ = fmt.Fprintf(t.w, format+"\n", args...) }

// flush prints the rows.
func (t table) flush() error { return t.w.Flush() }
