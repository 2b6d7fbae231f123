// Package pipefile reads a pipeline file, YAML in the manner of CI files, and
// tells every fault with its line and column. What a pipeline may hold is
// package pipelines' matter.
package pipefile

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Fault is one thing that is wrong in a file. Line and Column count from 1 and
// are 0 where the file as a whole is meant.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path,omitempty"`
	Want   string `json:"want"`
}

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

// File is a file that was read.
type File struct {
	Name   string
	Doc    map[string]any
	Plan   *pipelines.Plan
	places map[string]place // path in the document to where its value stands
	names  map[string]place // path of a field to where its name stands
}

type place struct{ line, column int }

// Load reads and checks a pipeline file; "-" is standard input.
func Load(name string) (*File, []Fault) {
	text, faults := text(name)
	if len(faults) > 0 {
		return nil, faults
	}
	return Parse(name, text)
}

// LoadJob reads and checks a file with one job, its fields as in a submission; a
// uid that is missing is taken from newUID.
func LoadJob(name string, newUID func() string) (*jobs.Spec, []Fault) {
	text, faults := text(name)
	if len(faults) > 0 {
		return nil, faults
	}
	f, faults := read(name, text)
	if len(faults) > 0 {
		return nil, faults
	}
	if f.Doc != nil && f.Doc["uid"] == nil {
		f.Doc["uid"] = newUID()
	}
	if f.Doc != nil {
		jobs.FillDefaults(f.Doc)
	}
	spec, wrong := jobs.CheckSpec(jobs.Encode(f.Doc))
	var out []pipelines.Fault
	for _, w := range wrong {
		out = append(out, pipelines.Fault{Path: w.Field, Want: w.Reason})
	}
	return spec, f.Place(out)
}

// text reads a file's text, up to its limit and one byte more.
func text(name string) ([]byte, []Fault) {
	whole := func(what string) []Fault { return []Fault{{File: name, Want: what}} }
	in := os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			var perr *os.PathError
			if errors.As(err, &perr) {
				err = perr.Err
			}
			return nil, whole("can't be opened: " + err.Error())
		}
		defer f.Close()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, tuning.MaxPipelineBytes+1))
	if err != nil {
		return nil, whole("can't be read: " + err.Error())
	}
	return b, nil
}

// Parse reads and checks a pipeline file's text.
func Parse(name string, text []byte) (*File, []Fault) {
	f, faults := read(name, text)
	if len(faults) > 0 {
		return nil, faults
	}
	plan, wrong := pipelines.Compile(anyOf(f.Doc))
	if len(wrong) > 0 {
		return nil, f.Place(wrong)
	}
	f.Plan = plan
	return f, nil
}

// read reads the YAML of a file.
func read(name string, text []byte) (*File, []Fault) {
	if len(text) > tuning.MaxPipelineBytes {
		return nil, []Fault{{File: name, Want: fmt.Sprintf("expected at most %d bytes", tuning.MaxPipelineBytes)}}
	}
	f := &File{Name: name, places: map[string]place{}, names: map[string]place{}}
	tree, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		fault := Fault{File: name, Want: "expected YAML: " + err.Error()}
		if y, ok := errors.AsType[yaml.Error](err); ok {
			fault.Want = "expected YAML: " + y.GetMessage()
			if t := y.GetToken(); t != nil && t.Position != nil {
				fault.Line, fault.Column = t.Position.Line, t.Position.Column
			}
		}
		return nil, []Fault{fault}
	}
	var docs []ast.Node
	for _, d := range tree.Docs {
		if d.Body != nil {
			docs = append(docs, d.Body)
		}
	}
	if len(docs) != 1 {
		return nil, []Fault{{File: name, Want: fmt.Sprintf("expected one document, found %d", len(docs))}}
	}
	r := reader{file: f, anchors: map[string]ast.Node{}}
	doc, _ := r.value(docs[0], "").(map[string]any)
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	f.Doc = doc
	return f, nil
}

// anyOf keeps a missing document from becoming a typed nil.
func anyOf(doc map[string]any) any {
	if doc == nil {
		return nil
	}
	return doc
}

// Place tells where in the file the faults of its document stand, in the order
// of the file. A fault of something that is missing stands where it should be.
func (f *File) Place(faults []pipelines.Fault) []Fault {
	var out []Fault
	for _, x := range faults {
		p, path := place{}, x.Path
		for named, ok := f.names[path]; ; {
			if x.AtName && ok {
				p = named
				break
			}
			var there bool
			if p, there = f.places[path]; there || path == "" {
				break
			}
			path = path[:max(strings.LastIndexAny(path, ".["), 0)]
		}
		out = append(out, Fault{f.Name, p.line, p.column, x.Path, x.Want})
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].Line != out[b].Line {
			return out[a].Line < out[b].Line
		}
		return out[a].Column < out[b].Column
	})
	return out
}

// Submission is the body of a request that runs the file under an id.
func (f *File) Submission(id string) []byte {
	return jobs.Encode(map[string]any{"id": id, "pipeline": f.Doc})
}

// reader turns YAML's nodes into plain values and notes where they stand.
type reader struct {
	file    *File
	anchors map[string]ast.Node
	faults  []Fault
	nodes   int
	depth   int
}

func (r *reader) fail(n ast.Node, path, want string) {
	p := position(n)
	r.faults = append(r.faults, Fault{r.file.Name, p.line, p.column, path, want})
}

func position(n ast.Node) place {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return place{}
	}
	// A block of fields begins where its first name stands.
	switch m := n.(type) {
	case *ast.MappingNode:
		if len(m.Values) > 0 && !m.IsFlowStyle {
			return position(m.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return position(m.Key)
	}
	p := n.GetToken().Position
	return place{p.Line, p.Column}
}

// value reads a node. Aliases are followed; that they can blow a small file up
// to a huge one is what the count of nodes is for.
func (r *reader) value(n ast.Node, path string) any {
	if _, ok := r.file.places[path]; !ok {
		r.file.places[path] = position(n)
	}
	if r.nodes++; r.nodes > tuning.MaxNodes || r.depth > tuning.MaxDepth {
		if len(r.faults) == 0 {
			r.fail(n, path, "expected a smaller file: its aliases or its depth make too much of it")
		}
		return nil
	}
	r.depth++
	defer func() { r.depth-- }()
	switch n := n.(type) {
	case *ast.MappingNode:
		return r.fields(n.Values, path)
	case *ast.MappingValueNode:
		return r.fields([]*ast.MappingValueNode{n}, path)
	case *ast.SequenceNode:
		out := make([]any, 0, len(n.Values))
		for i, v := range n.Values {
			out = append(out, r.value(v, fmt.Sprintf("%s[%d]", path, i)))
		}
		return out
	case *ast.AnchorNode:
		r.anchors[n.Name.String()] = n.Value
		return r.value(n.Value, path)
	case *ast.AliasNode:
		to, ok := r.anchors[n.Value.String()]
		if !ok {
			r.fail(n, path, fmt.Sprintf("no anchor &%s stands before this", n.Value))
			return nil
		}
		return r.value(to, path)
	case *ast.TagNode:
		return r.value(n.Value, path)
	case *ast.NullNode:
		return nil
	case *ast.BoolNode:
		return n.Value
	case *ast.IntegerNode:
		return n.Value
	case *ast.FloatNode:
		return n.Value
	case *ast.StringNode:
		return n.Value
	case *ast.LiteralNode:
		return n.Value.Value
	case *ast.InfinityNode, *ast.NanNode:
		r.fail(n, path, "expected a number")
		return math.MaxFloat64
	}
	r.fail(n, path, "expected a text, a number, true, false, a list or fields")
	return nil
}

// fields reads a mapping. Of `<<`, what the mapping has itself goes first.
func (r *reader) fields(values []*ast.MappingValueNode, path string) map[string]any {
	out, merged := map[string]any{}, map[string]any{}
	for _, v := range values {
		if v.Key.IsMergeKey() {
			if m, ok := r.value(v.Value, path).(map[string]any); ok {
				for k, x := range m {
					merged[k] = x
				}
			} else {
				r.fail(v.Value, path, "expected fields behind <<")
			}
			continue
		}
		key := ""
		if s, ok := v.Key.(*ast.StringNode); ok {
			key = s.Value
		} else {
			key = v.Key.String()
		}
		at := key
		if path != "" {
			at = path + "." + key
		}
		if _, twice := out[key]; twice {
			r.fail(v.Key, at, "stands here twice")
			continue
		}
		r.file.places[at], r.file.names[at] = position(v.Key), position(v.Key)
		out[key] = r.value(v.Value, at)
		// A fault of a value is shown where the value stands.
		if p := position(v.Value); p.line == position(v.Key).line && p.column > 0 {
			r.file.places[at] = p
		}
	}
	for k, x := range merged {
		if _, own := out[k]; !own {
			out[k] = x
		}
	}
	return out
}
