package scenario

import (
	"strings"
	"time"
)

// calm ends all troubles, and has jobs watched that wait although there is room for them.
func (s *script) calm() {
	s.w.EndFaults()
	s.w.WatchStranded()
}

// expectStranded: none has waited for so many seconds although there was room for it.
func (s *script) expectStranded(seconds string) {
	if got := s.w.Stranded(time.Duration(s.number(seconds) * float64(time.Second))); len(got) > 0 {
		s.fatal("%d jobs wait although there is room for them: %s", len(got), strings.Join(got, " "))
	}
}
