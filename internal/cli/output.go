package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/harrierreel/harrierreel/internal/pipefile"
)

// json tells whether the output is JSON lines.
func (a *app) json() bool { return a.output == "json" }

// printf prints a result. A failed write is dropped: the output is the only way to
// the user, and the exit code says how the verb itself ended.
func (a *app) printf(format string, args ...any) { _, _ = fmt.Fprintf(a.out, format, args...) }

// notef prints a fault or a remark beside the results. A failed write is dropped, as in printf.
func (a *app) notef(format string, args ...any) { _, _ = fmt.Fprintf(a.note, format, args...) }

// progress notes what is going on while a verb waits.
func (a *app) progress(text string) { a.notef("harrierreel: %s\n", text) }

// line prints a value as a line of JSON.
func (a *app) line(v any) {
	encoded, err := json.Marshal(v)
	if err != nil {
		return
	}
	a.printf("%s\n", encoded)
}

// faults prints what is wrong with a pipeline or job file and ends with the code for it.
func (a *app) faults(faults []pipefile.Fault) error {
	for _, f := range faults {
		if !a.json() {
			a.notef("%s\n", f.Error())
			continue
		}
		a.line(map[string]any{
			"event":  "fault",
			"file":   f.File,
			"line":   f.Line,
			"column": f.Column,
			"path":   f.Path,
			"want":   f.Want,
		})
	}
	return &Exit{Code: ExitUsage}
}

// table aligns rows of cells that have tabs between them.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer) table {
	return table{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
}

// row adds a row of two cells or more. Such a row stays in the buffer until flush, so it
// is flush that returns the error of the writer below.
func (t table) row(format string, args ...any) { _, _ = fmt.Fprintf(t.w, format+"\n", args...) }

func (t table) flush() error { return t.w.Flush() }
