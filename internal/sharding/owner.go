// Package sharding assigns machines to controllers by rendezvous hashing, does arithmetic on
// machine resources, and picks machines for tasks by bin packing. It performs no IO, reads no clock
// and keeps no state.
package sharding

import "hash/fnv"

// Owner returns the member that owns a machine by rendezvous hashing: the one with the highest hash
// of member and machine. If a member leaves, only its own machines move. The hash must never
// change, because all controllers, including those of other versions, must compute the same owner.
// Owner returns "" if there are no members.
func Owner(machine string, members []string) string {
	highest, owner := uint64(0), ""
	for _, member := range members {
		hash := rendezvousHash(member, machine)
		if owner == "" || hash > highest || (hash == highest && member < owner) {
			highest, owner = hash, member
		}
	}
	return owner
}

// rendezvousHash returns the FNV-1a hash of both names, passed through the 64-bit finalizer of
// MurmurHash3. FNV-1a alone mixes the last bytes poorly into the high bits.
func rendezvousHash(member, machine string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(member))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write([]byte(machine))
	hash := digest.Sum64()
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	hash ^= hash >> 33
	return hash
}
