package pipefile

import (
	"fmt"
	"sort"
	"strings"

	"github.com/harrierreel/harrierreel/internal/pipelines"
)

// Fault is one thing that is wrong in a file. Line and Column count from 1 and
// are 0 where the file as a whole is meant. Path leads to the value in the document,
// as in steps[2].needs[0]; Want says what was expected there.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path,omitempty"`
	Want   string `json:"want"`
}

// Error is the fault as users read it: FILE:LINE:COLUMN: PATH: WANT, without what is
// not known.
func (f Fault) Error() string {
	out := f.File
	if f.Line > 0 {
		out += fmt.Sprintf(":%d:%d", f.Line, f.Column)
	}
	if f.Path != "" {
		out += ": " + f.Path
	}
	return out + ": " + f.Want
}

// wholeFile is a fault that has no place in the file.
func wholeFile(name, want string) []Fault { return []Fault{{File: name, Want: want}} }

// position is a place in a file, counted from 1; zero if it is not known.
type position struct{ line, column int }

// Place adds to the faults of a document their positions in its file, and sorts them
// by these. A fault of something that is missing stands where it should be.
func (f *File) Place(faults []pipelines.Fault) []Fault {
	var out []Fault
	for _, fault := range faults {
		at := f.positionOf(fault)
		out = append(out, Fault{
			File:   f.Name,
			Line:   at.line,
			Column: at.column,
			Path:   fault.Path,
			Want:   fault.Want,
		})
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].Line != out[b].Line {
			return out[a].Line < out[b].Line
		}
		return out[a].Column < out[b].Column
	})
	return out
}

// positionOf is where a fault's name or value stands, or else the nearest value
// around it that the file has.
func (f *File) positionOf(fault pipelines.Fault) position {
	if at, ok := f.names[fault.Path]; ok && fault.AtName {
		return at
	}
	for path := fault.Path; ; path = parentPath(path) {
		if at, ok := f.values[path]; ok || path == "" {
			return at
		}
	}
}

// parentPath cuts a path's last field or index off.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
