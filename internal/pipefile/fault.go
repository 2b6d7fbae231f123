package pipefile

import (
	"fmt"
	"sort"
	"strings"

	"github.com/harrierreel/harrierreel/internal/pipelines"
)

// Fault is a validation error of a file. Line and Column count from 1; they are 0 if the fault
// concerns the file as a whole. Path is the place in the document, as in steps[2].needs[0], and
// Want says what was expected there.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path,omitempty"`
	Want   string `json:"want"`
}

// Error returns the fault in the form shown to users, FILE:LINE:COLUMN: PATH: WANT, without the
// parts that are not known.
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

// wholeFile returns a fault that concerns the file as a whole.
func wholeFile(name, want string) []Fault { return []Fault{{File: name, Want: want}} }

// position is a position in a file, counted from 1. The zero value means unknown.
type position struct{ line, column int }

// Place returns the faults of a document with their positions in the file, sorted by position. The
// fault of a missing field gets the position of the value that should contain it.
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

// positionOf returns the position of the name or value that a fault concerns. If the file does not
// contain it, the position of the innermost enclosing value is returned.
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

// parentPath returns a path without its last field or index.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
