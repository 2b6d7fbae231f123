// Package pipefile reads pipeline files, which are YAML in the style of CI configuration, and
// reports all faults with line and column. The content of a pipeline is validated by package
// pipelines.
package pipefile

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// File is a parsed file.
type File struct {
	Name   string
	Doc    map[string]any      // the document, nil if it is not a mapping
	Plan   *pipelines.Plan     // set only by Load and Parse
	values map[string]position // positions of the values, by path in the document
	names  map[string]position // positions of the fields' names, by path in the document
}

// Load reads and validates a pipeline file. The name "-" stands for standard input.
func Load(name string) (*File, []Fault) {
	text, faults := readText(name)
	if len(faults) > 0 {
		return nil, faults
	}
	return Parse(name, text)
}

// LoadJob reads and validates a file with one job, which has the fields of a job submission. If the
// file has no job ID, newJobID supplies it.
func LoadJob(name string, newJobID func() string) (*jobs.Spec, []Fault) {
	text, faults := readText(name)
	if len(faults) > 0 {
		return nil, faults
	}
	f, faults := parseYAML(name, text)
	if len(faults) > 0 {
		return nil, faults
	}
	if f.Doc != nil {
		if f.Doc["uid"] == nil {
			f.Doc["uid"] = newJobID()
		}
		jobs.FillDefaults(f.Doc)
	}
	spec, fieldFaults := jobs.CheckSpec(jobs.Encode(f.Doc))
	var out []pipelines.Fault
	for _, fault := range fieldFaults {
		out = append(out, pipelines.Fault{Path: fault.Field, Want: fault.Reason})
	}
	return spec, f.Place(out)
}

// Parse parses and validates the text of a pipeline file. name is the file name used in faults.
func Parse(name string, text []byte) (*File, []Fault) {
	f, faults := parseYAML(name, text)
	if len(faults) > 0 {
		return nil, faults
	}
	plan, planFaults := pipelines.Compile(untyped(f.Doc))
	if len(planFaults) > 0 {
		return nil, f.Place(planFaults)
	}
	f.Plan = plan
	return f, nil
}

// Submission returns the body of the request that runs the pipeline under the given run ID.
func (f *File) Submission(id string) []byte {
	return jobs.Encode(map[string]any{"id": id, "pipeline": f.Doc})
}

// readText reads a file. It stops one byte beyond the size limit, so that a file that is too long
// can be distinguished from one that just fits.
func readText(name string) ([]byte, []Fault) {
	in := os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			if pathError, ok := errors.AsType[*os.PathError](err); ok {
				err = pathError.Err // the fault contains the file name already
			}
			return nil, wholeFile(name, "can't be opened: "+err.Error())
		}
		defer func() { _ = file.Close() }() // the file was only read
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, tuning.MaxPipelineBytes+1))
	if err != nil {
		return nil, wholeFile(name, "can't be read: "+err.Error())
	}
	return text, nil
}

// parseYAML parses a file, which must contain exactly one document.
func parseYAML(name string, text []byte) (*File, []Fault) {
	if len(text) > tuning.MaxPipelineBytes {
		return nil, wholeFile(name, fmt.Sprintf("expected at most %d bytes", tuning.MaxPipelineBytes))
	}
	tree, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, []Fault{syntaxFault(name, err)}
	}
	var documents []ast.Node
	for _, d := range tree.Docs {
		if d.Body != nil {
			documents = append(documents, d.Body)
		}
	}
	if len(documents) != 1 {
		return nil, wholeFile(name, fmt.Sprintf("expected one document, found %d", len(documents)))
	}
	f := &File{
		Name:   name,
		values: map[string]position{},
		names:  map[string]position{},
	}
	r := reader{file: f, anchors: map[string]ast.Node{}}
	doc, _ := r.value(documents[0], "").(map[string]any)
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	f.Doc = doc
	return f, nil
}

// syntaxFault converts an error of the YAML parser to a fault, with its position if it has one.
func syntaxFault(name string, err error) Fault {
	syntax, ok := errors.AsType[yaml.Error](err)
	if !ok {
		return Fault{File: name, Want: "expected YAML: " + err.Error()}
	}
	fault := Fault{File: name, Want: "expected YAML: " + syntax.GetMessage()}
	if t := syntax.GetToken(); t != nil && t.Position != nil {
		fault.Line = t.Position.Line
		fault.Column = t.Position.Column
	}
	return fault
}

// untyped converts a nil map to an untyped nil.
func untyped(doc map[string]any) any {
	if doc == nil {
		return nil
	}
	return doc
}
