package fleet

// ZoneHealth counts the machines of a zone, or of an owner, to tell a network partition
// from machines that have stopped.
type ZoneHealth struct{ Unresponsive, All int }

// Partitioned tells whether so many of the machines are unresponsive that a network
// partition is the likelier cause: at least minimum of them, and more than the given share
// of all. Machines behind a partition go on working, so they are given up only when the
// cloud says that they have stopped.
func (z ZoneHealth) Partitioned(minimum int, share float64) bool {
	return z.Unresponsive >= minimum && float64(z.Unresponsive) > share*float64(z.All)
}
