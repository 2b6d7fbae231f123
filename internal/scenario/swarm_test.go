package scenario

import (
	"fmt"
	"time"
)

// abortEach executes "abort-each FIRST COUNT EVERY STEP": of jobs that arrive EVERY seconds apart,
// every STEPth accepted one is cancelled, at the same interval.
func (s *script) abortEach(args []string) {
	first, count, every, step := int(s.number(args[0])), int(s.number(args[1])), s.number(args[2]), int(s.number(args[3]))
	for i := 0; i < count; i += step {
		jobID := fmt.Sprintf("wk-%06d", first+i)
		s.sim.After(time.Duration(float64(i)*every*float64(time.Second)), func() {
			if j := s.sim.Jobs[jobID]; j != nil && j.Accepted {
				s.sim.Cancel(j)
			}
		})
	}
}

// expectOver checks "expect over FIRST COUNT CANCELLED": each of these jobs is done or cancelled,
// and at least CANCELLED of them are cancelled.
func (s *script) expectOver(args []string) {
	first, cancelled := int(s.number(args[1])), 0
	for i := range int(s.number(args[2])) {
		j := s.job(fmt.Sprintf("wk-%06d", first+i))
		if j.Status != "done" && j.Status != "cancelled" {
			s.fatal("%s is %q", j.ID, j.Status)
		}
		if j.Cancelled {
			cancelled++
		}
	}
	if cancelled < int(s.number(args[3])) {
		s.fatal("%d jobs are cancelled, fewer than %s", cancelled, args[3])
	}
}
