// Package members contains the rules of cluster membership: the view, which names the leader and
// the live members and whose epoch fences every decision; which controllers are admitted to the
// view; and how certain a controller is of its own place in it. The package does no I/O and reads
// no clock.
package members

import "strings"

// Keys in the store.
const (
	// ViewKey is the key of the View. Every decision of a controller has the revision of this key
	// as a precondition.
	ViewKey = "view"
	// MemberPrefix is the prefix of the member keys: each live controller stores its incarnation
	// under its name. A member key is attached to its controller's lease.
	MemberPrefix = "member/"
	// CapabilitiesPrefix is the prefix of the keys under which members declare their Capabilities.
	CapabilitiesPrefix = "form/"
)

// NameOfKey returns the member's name from a member key.
func NameOfKey(key string) string { return strings.TrimPrefix(key, MemberPrefix) }
