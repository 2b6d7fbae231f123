// Package sharding divides the machines among the live controllers by rendezvous hashing,
// counts machines' resources, and picks the machine for a task by bin packing. It has no
// IO, no clock and no state.
package sharding

import "hash/fnv"

// Owner is the member that a machine belongs to, by rendezvous hashing: the member with
// the highest hash of member and machine. When a member goes, only its own machines move.
// All controllers compute it alike, also those of other versions, so the hash must never
// change. Without members there is no owner: "".
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

// rendezvousHash is FNV-1a of both names, followed by the 64-bit finalizer of MurmurHash3:
// FNV alone mixes its last bytes badly into the high bits.
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
