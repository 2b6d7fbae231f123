package scenario

import "time"

// setOutboundPartition cuts or restores the traffic from initial machines to the controllers.
func (s *script) setOutboundPartition(first, count int, on bool) {
	for _, machine := range s.machines[first-1 : first-1+count] {
		s.w.Isolate(machine, on)
	}
}

// outboundPartition has some machines, or all of a zone, reach no controller for up to 2.5 leases,
// while commands still reach them.
var outboundPartition = fault{"machines outbound-partitioned", func(s *script, _ string, d time.Duration) {
	w := s.w
	d = max(d, time.Duration(w.RNG.Float64()*2.5*w.LeaseS*float64(time.Second)))
	isolate := func(machine string) {
		w.Isolate(machine, true)
		w.After(d, func() { w.Isolate(machine, false) })
	}
	if w.RNG.IntN(3) > 0 {
		s.someMachines(isolate)
		return
	}
	for _, machine := range s.machines {
		if agent := w.Agents[machine]; agent != nil && agent.Zone() == "a" {
			isolate(machine)
		}
	}
}}

// expectKept checks how many of some initial machines still exist.
func (s *script) expectKept(first, count, least int) {
	s.t.Helper()
	kept := 0
	for _, machine := range s.machines[first-1 : first-1+count] {
		if s.w.Agents[machine] != nil {
			kept++
		}
	}
	if kept < least {
		s.fatal("%d of %d machines still exist, want at least %d", kept, count, least)
	}
}
