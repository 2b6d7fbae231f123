package scenario

import (
	"fmt"
	"time"
)

// hangFor has machines hang for so long: so many of the start, or those with a task of so
// many jobs.
func (s *script) hangFor(verb string, args []string) {
	first, count := int(s.number(args[0])), int(s.number(args[1]))
	long := time.Duration(s.number(args[2]) * float64(time.Second))
	for i := range count {
		var machine string
		if verb == "hang-for" {
			machine = s.machines[first-1+i]
		} else if machine = s.w.MachineOf(fmt.Sprintf("wk-%06d", first+i)); machine == "" {
			s.fatal("wk-%06d is on no machine", first+i)
		}
		if agent := s.w.Agents[machine]; agent != nil && !agent.Hung {
			agent.Hung = true
			s.w.After(long, agent.Resume)
		}
	}
}
