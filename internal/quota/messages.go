package quota

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Apply is an operator's request to replace the tree in force. Base is the number of the tree that
// the new one is derived from; the request is refused if another tree is in force by then. The
// type's name appears in error messages to operators and must not change.
type Apply struct {
	Base   int      `json:"base"`
	DryRun bool     `json:"dry_run,omitempty"`
	Quotas Document `json:"quotas"`
}

// Refusal is the body of the response that refuses a tree.
type Refusal struct {
	Error  string   `json:"error"`
	Faults []string `json:"faults,omitempty"`
}

// ParseApply decodes and checks a request. It returns either the request and its tree, or a refusal
// with the faults.
func ParseApply(body []byte, teams map[string]Team, classes []string) (*Apply, *Tree, *Refusal) {
	var request Apply
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return nil, nil, &Refusal{Error: "body: " + err.Error()}
	}
	tree, faults := Build(&request.Quotas, teams, classes)
	if len(faults) > 0 {
		return nil, nil, &Refusal{Error: fmt.Sprintf("%d faults in the quotas", len(faults)), Faults: faults}
	}
	return &request, tree, nil
}

// Preview tells operators how a tree affects, or would affect, the running tasks.
type Preview struct {
	Number int           `json:"number"` // of the tree in force
	Over   []Over        `json:"over,omitempty"`
	Stops  []PreviewStop `json:"stops,omitempty"`
}

// Over is a node whose usage exceeds its limit.
type Over struct {
	Path string `json:"path"`
	By   Bounds `json:"by"`
}

// PreviewStop is a task that would be stopped unless it ends within the grace period.
type PreviewStop struct {
	Task string `json:"task"`
	Path string `json:"path"`
}

// Excesses returns the nodes whose usage exceeds their limits, the deepest first.
func (a *Account) Excesses() []Over {
	var excesses []Over
	for _, node := range a.NodesOverLimit() {
		excesses = append(excesses, Over{Path: a.tree.Path(node), By: toBounds(a.Excess(node))})
	}
	return excesses
}

// ShownTree is the response to an operator's request to show the tree.
type ShownTree struct {
	Number int    `json:"number"`
	Nodes  []View `json:"nodes"`
}

// EncodeTree returns the JSON of a ShownTree with one line for each node, since some receivers do
// not accept lines of more than 64 KiB.
func EncodeTree(number int, nodes []View) []byte {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"number":%d,"nodes":[`, number)
	for i := range nodes {
		if i > 0 {
			body.WriteByte(',')
		}
		body.WriteByte('\n')
		line, err := json.Marshal(nodes[i])
		if err != nil {
			line = []byte("{}")
		}
		body.Write(line)
	}
	body.WriteString("]}")
	return body.Bytes()
}
