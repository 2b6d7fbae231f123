package scenario

import (
	"fmt"
	"time"
)

// hangFor executes "hang-for FIRST COUNT SECONDS", which hangs these initial machines, and
// "hang-with FIRST COUNT SECONDS", which hangs one machine of each of these jobs.
func (s *script) hangFor(verb string, args []string) {
	first, count := int(s.number(args[0])), int(s.number(args[1]))
	duration := time.Duration(s.number(args[2]) * float64(time.Second))
	for i := range count {
		var machine string
		if verb == "hang-for" {
			machine = s.machines[first-1+i]
		} else if machine = s.sim.MachineOf(fmt.Sprintf("wk-%06d", first+i)); machine == "" {
			s.fatal("no task of wk-%06d is on a machine", first+i)
		}
		if agent := s.sim.Agents[machine]; agent != nil && !agent.Hung {
			agent.Hung = true
			s.sim.After(duration, agent.Resume)
		}
	}
}
