package fleet

// ZoneHealth counts the unresponsive machines among all machines of a zone or an owner, to
// distinguish a network partition from machines that have stopped.
type ZoneHealth struct{ Unresponsive, All int }

// Partitioned reports whether so many machines are unresponsive that a network partition is the
// likelier cause: at least minimum of them, and more than the given share of all. Machines behind
// a partition keep running their tasks, so they are given up only once the cloud reports that they
// have stopped.
func (z ZoneHealth) Partitioned(minimum int, share float64) bool {
	return z.Unresponsive >= minimum && float64(z.Unresponsive) > share*float64(z.All)
}
