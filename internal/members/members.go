// Package members keeps the view: who leads, who lives, and the epoch that
// fences every decision.
package members

import "strings"

// Keys in the state service.
const (
	ViewKey      = "view"
	MemberPrefix = "member/"
	// CapabilitiesPrefix is that of the keys in which members say what they can read.
	CapabilitiesPrefix = "form/"
)

// Member is a live controller. Inc is the id of the lease that its member key
// hangs on: a restart has a new lease and so is a new incarnation.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"inc"`
}

// NameOfKey is the member's name in a member key.
func NameOfKey(key string) string { return strings.TrimPrefix(key, MemberPrefix) }
