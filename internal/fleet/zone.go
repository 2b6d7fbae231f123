package fleet

// ZoneHealth counts the machines of a zone, or of an owner, to tell one that is cut off
// from machines that have stopped.
type ZoneHealth struct{ Unresponsive, All int }

// Partitioned tells whether so many of its machines are quiet that the way to it is
// the likelier cause. Machines behind a cut go on working: they are only given
// up when the cloud says that they have stopped.
func (s ZoneHealth) Partitioned(least int, share float64) bool {
	return s.Unresponsive >= least && float64(s.Unresponsive) > share*float64(s.All)
}
