package pipefile

import (
	"fmt"
	"math"

	"github.com/goccy/go-yaml/ast"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// reader converts YAML nodes to plain values and records their positions.
type reader struct {
	file    *File
	anchors map[string]ast.Node
	faults  []Fault
	nodes   int // nodes read so far, with an alias's content counted at each use
	depth   int
}

func (r *reader) fail(n ast.Node, path, want string) {
	at := nodePosition(n)
	r.faults = append(r.faults, Fault{
		File:   r.file.Name,
		Line:   at.line,
		Column: at.column,
		Path:   path,
		Want:   want,
	})
}

func nodePosition(n ast.Node) position {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return position{}
	}
	// A block mapping begins at its first key.
	switch m := n.(type) {
	case *ast.MappingNode:
		if len(m.Values) > 0 && !m.IsFlowStyle {
			return nodePosition(m.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return nodePosition(m.Key)
	}
	p := n.GetToken().Position
	return position{p.Line, p.Column}
}

// value converts a node. Because aliases are followed, a small file could expand to a huge
// document: the limits on nodes and depth prevent that.
func (r *reader) value(n ast.Node, path string) any {
	if _, ok := r.file.values[path]; !ok {
		r.file.values[path] = nodePosition(n)
	}
	if r.nodes++; r.nodes > tuning.MaxYAMLNodes || r.depth > tuning.MaxYAMLDepth {
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
		target, ok := r.anchors[n.Value.String()]
		if !ok {
			r.fail(n, path, fmt.Sprintf("no anchor &%s stands before this", n.Value))
			return nil
		}
		return r.value(target, path)
	case *ast.TagNode:
		return r.value(n.Value, path)
	}
	return r.scalar(n, path)
}

// scalar converts a node without children.
func (r *reader) scalar(n ast.Node, path string) any {
	switch n := n.(type) {
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

// fields converts a mapping. Its own fields take precedence over those merged in with `<<`.
func (r *reader) fields(values []*ast.MappingValueNode, path string) map[string]any {
	out, merged := map[string]any{}, map[string]any{}
	for _, v := range values {
		if v.Key.IsMergeKey() {
			r.merge(v, path, merged)
		} else {
			r.field(v, path, out)
		}
	}
	for key, value := range merged {
		if _, own := out[key]; !own {
			out[key] = value
		}
	}
	return out
}

// merge adds the fields referenced by a `<<` key to merged.
func (r *reader) merge(v *ast.MappingValueNode, path string, merged map[string]any) {
	fields, ok := r.value(v.Value, path).(map[string]any)
	if !ok {
		r.fail(v.Value, path, "expected fields behind <<")
		return
	}
	for key, value := range fields {
		merged[key] = value
	}
}

// field converts a field and adds it to a mapping.
func (r *reader) field(v *ast.MappingValueNode, path string, out map[string]any) {
	key := fieldName(v.Key)
	fieldPath := key
	if path != "" {
		fieldPath = path + "." + key
	}
	if _, exists := out[key]; exists {
		r.fail(v.Key, fieldPath, "stands here twice")
		return
	}
	name := nodePosition(v.Key)
	r.file.values[fieldPath] = name
	r.file.names[fieldPath] = name
	out[key] = r.value(v.Value, fieldPath)
	// Faults of a value get the value's position if it is on the same line as the name, else the
	// name's position.
	if value := nodePosition(v.Value); value.line == name.line && value.column > 0 {
		r.file.values[fieldPath] = value
	}
}

// fieldName returns the text of a key. Keys other than strings are taken as written.
func fieldName(key ast.MapKeyNode) string {
	if s, ok := key.(*ast.StringNode); ok {
		return s.Value
	}
	return key.String()
}
