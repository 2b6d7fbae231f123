package scenario

import (
	"strings"
	"time"
)

// endFaults ends all faults and starts tracking jobs that wait although there is room for them.
func (s *script) endFaults() {
	s.sim.EndFaults()
	s.sim.WatchStranded()
}

// expectStranded checks that no job has waited for that many seconds although there was room for
// it.
func (s *script) expectStranded(seconds string) {
	if got := s.sim.Stranded(time.Duration(s.number(seconds) * float64(time.Second))); len(got) > 0 {
		s.fatal("%d jobs wait although there is room for them: %s", len(got), strings.Join(got, " "))
	}
}
