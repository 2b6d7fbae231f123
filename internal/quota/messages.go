package quota

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Apply is a request to put another tree in force. Base is the number of the tree
// that it was made from: if another one is in force by then, it is refused.
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

// ParseApply reads and checks a request. The refusal tells every fault.
func ParseApply(body []byte, teams map[string]Team, classes []string) (*Apply, *Tree, *Refusal) {
	var a Apply
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return nil, nil, &Refusal{Error: "body: " + err.Error()}
	}
	tree, faults := Build(&a.Quotas, teams, classes)
	if len(faults) > 0 {
		return nil, nil, &Refusal{Error: fmt.Sprintf("%d faults in the quotas", len(faults)), Faults: faults}
	}
	return &a, tree, nil
}

// Preview says what a tree means, or would mean, for what runs.
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
func (c *Account) Excesses() []Over {
	var out []Over
	for _, i := range c.Over() {
		out = append(out, Over{c.tree.Path(i), toBounds(c.Excess(i))})
	}
	return out
}

// ShownTree is the answer to a look at the tree.
type ShownTree struct {
	Number int    `json:"number"`
	Nodes  []View `json:"nodes"`
}

// EncodeTree writes a tree with a line for each node: receivers may take no longer
// lines than 64 KiB.
func EncodeTree(number int, nodes []View) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"number":%d,"nodes":[`, number)
	for i := range nodes {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteByte('\n')
		line, err := json.Marshal(nodes[i])
		if err != nil {
			line = []byte("{}")
		}
		b.Write(line)
	}
	b.WriteString("]}")
	return b.Bytes()
}
