// Package members is the core of the membership: the view, which says who leads, who is alive,
// and which epoch fences every decision; which controllers may be admitted to it; and how
// certain a controller is of its own place in it. It has no IO and no clock.
package members

import "strings"

// Keys in the store.
const (
	// ViewKey is the key of the View. Every decision of a controller has its revision as a
	// precondition.
	ViewKey = "view"
	// MemberPrefix is the prefix of the keys in which each live controller, by name, keeps its
	// incarnation. A member key hangs on its controller's lease.
	MemberPrefix = "member/"
	// CapabilitiesPrefix is the prefix of the keys in which members declare their Capabilities.
	CapabilitiesPrefix = "form/"
)

// NameOfKey returns the member's name in a member key.
func NameOfKey(key string) string { return strings.TrimPrefix(key, MemberPrefix) }
