// Package pipefile reads a pipeline file, YAML in the manner of CI files, and
// reports every fault with its line and column. What a pipeline may hold is
// checked by package pipelines.
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

// File is a file that was read.
type File struct {
	Name   string
	Doc    map[string]any      // its document; nil if that is no mapping
	Plan   *pipelines.Plan     // set by Load and Parse only
	values map[string]position // by path in the document, where its value stands
	names  map[string]position // by path of a field, where its name stands
}

// Load reads and checks a pipeline file; "-" is standard input.
func Load(name string) (*File, []Fault) {
	text, faults := readText(name)
	if len(faults) > 0 {
		return nil, faults
	}
	return Parse(name, text)
}

// LoadJob reads and checks a file with one job, its fields as in a submission. A
// job ID that is missing is taken from newJobID.
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

// Parse reads and checks a pipeline file's text; the name is that of its faults.
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

// Submission is the body of a request that runs the file under an ID.
func (f *File) Submission(id string) []byte {
	return jobs.Encode(map[string]any{"id": id, "pipeline": f.Doc})
}

// readText reads a file's text, up to its limit and one byte more, so that a longer
// one is told from one that just fits.
func readText(name string) ([]byte, []Fault) {
	in := os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			if pathError, ok := errors.AsType[*os.PathError](err); ok {
				err = pathError.Err // the fault names the file already
			}
			return nil, wholeFile(name, "can't be opened: "+err.Error())
		}
		defer func() { _ = file.Close() }() // it was only read
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, tuning.MaxPipelineBytes+1))
	if err != nil {
		return nil, wholeFile(name, "can't be read: "+err.Error())
	}
	return text, nil
}

// parseYAML reads the one document of a file.
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

// syntaxFault is what the YAML parser found wrong, at its position if it named one.
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

// untyped keeps a missing document from becoming a typed nil.
func untyped(doc map[string]any) any {
	if doc == nil {
		return nil
	}
	return doc
}
