package scenario

import "time"

// mute has machines of the start reach no controller, or reach them again.
func (s *script) mute(first, count int, on bool) {
	for _, h := range s.machines[first-1 : first-1+count] {
		s.w.Isolate(h, on)
	}
}

// machinesMute: some machines, or a whole zone's, reach no controller while commands
// reach them, for up to two leases and a half.
var machinesMute = trouble{"machines mute", func(s *script, _ string, d time.Duration) {
	w := s.w
	d = max(d, time.Duration(w.RNG.Float64()*2.5*w.LeaseS*float64(time.Second)))
	befall := func(h string) {
		w.Isolate(h, true)
		w.After(d, func() { w.Isolate(h, false) })
	}
	if w.RNG.IntN(3) > 0 {
		s.someHosts(befall)
		return
	}
	for _, h := range s.machines {
		if agent := w.Agents[h]; agent != nil && agent.Zone() == "a" {
			befall(h)
		}
	}
}}

// expectKept checks how many of some machines of the start are still there.
func (s *script) expectKept(first, count, least int) {
	s.t.Helper()
	kept := 0
	for _, h := range s.machines[first-1 : first-1+count] {
		if s.w.Agents[h] != nil {
			kept++
		}
	}
	if kept < least {
		s.fatal("%d of %d machines are still there, not %d", kept, count, least)
	}
}
