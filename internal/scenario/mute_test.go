package scenario

import "time"

// setOutboundPartition cuts or restores the traffic from initial machines to the controllers.
func (s *script) setOutboundPartition(first, count int, on bool) {
	for _, machine := range s.machines[first-1 : first-1+count] {
		s.sim.Isolate(machine, on)
	}
}

// outboundPartition has some machines, or all of a zone, reach no controller for up to 2.5 leases,
// while commands still reach them.
var outboundPartition = fault{"machines outbound-partitioned", func(s *script, _ string, d time.Duration) {
	sim := s.sim
	d = max(d, time.Duration(sim.RNG.Float64()*2.5*sim.LeaseS*float64(time.Second)))
	isolate := func(machine string) {
		sim.Isolate(machine, true)
		sim.After(d, func() { sim.Isolate(machine, false) })
	}
	if sim.RNG.IntN(3) > 0 {
		s.someMachines(isolate)
		return
	}
	for _, machine := range s.machines {
		if agent := sim.Agents[machine]; agent != nil && agent.Zone() == "a" {
			isolate(machine)
		}
	}
}}

// expectKept checks that at least minimum of some initial machines still exist.
func (s *script) expectKept(first, count, minimum int) {
	s.t.Helper()
	kept := 0
	for _, machine := range s.machines[first-1 : first-1+count] {
		if s.sim.Agents[machine] != nil {
			kept++
		}
	}
	if kept < minimum {
		s.fatal("%d of %d machines still exist, want at least %d", kept, count, minimum)
	}
}
