package quota

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Apply is an operator's request to put another tree in force. Base is the number of the tree
// that it was made from: if another one is in force by then, the request is refused. Its name
// is part of answers to operators.
type Apply struct {
	Base   int      `json:"base"`
	DryRun bool     `json:"dry_run,omitempty"`
	Quotas Document `json:"quotas"`
}

// Refusal is the body of an answer that refuses a tree.
type Refusal struct {
	Error  string   `json:"error"`
	Faults []string `json:"faults,omitempty"`
}

// ParseApply reads and checks a request. Either the request and its tree are returned, or a
// refusal with every fault.
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

// Preview tells operators what a tree means, or would mean, for what runs.
type Preview struct {
	Number int           `json:"number"` // of the tree in force
	Over   []Over        `json:"over,omitempty"`
	Stops  []PreviewStop `json:"stops,omitempty"`
}

// Over is a node whose use is above its limit.
type Over struct {
	Path string `json:"path"`
	By   Bounds `json:"by"`
}

// PreviewStop is a task that would be stopped unless it ends in time.
type PreviewStop struct {
	Task string `json:"task"`
	Path string `json:"path"`
}

// Excesses lists the nodes whose use is above their limits.
func (a *Account) Excesses() []Over {
	var excesses []Over
	for _, node := range a.Over() {
		excesses = append(excesses, Over{Path: a.tree.Path(node), By: toBounds(a.Excess(node))})
	}
	return excesses
}

// ShownTree is the answer to an operator's request to show the tree.
type ShownTree struct {
	Number int    `json:"number"`
	Nodes  []View `json:"nodes"`
}

// EncodeTree writes a ShownTree with a line for each node: some receivers accept no lines of
// more than 64 KiB.
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
