package scenario

import "time"

// machineExpectations are about machines and loans.
var machineExpectations = map[string]expectFunc{
	"machines": (*script).expectMachines,
	"rented":   (*script).expectRented,
	"rents":    (*script).expectRents,
	"lost":     (*script).expectLost,
	"alive":    (*script).expectAlive,
	"dead":     (*script).expectAlive,
	"records":  (*script).expectRecords,
	"kept":     (*script).expectKeptLine,
	"expired":  (*script).expectExpired,
	"loans":    (*script).expectLoans,
	"used":     (*script).expectLoans,
	"gangs":    (*script).expectLoans,
	"upto":     (*script).expectLoans,
}

// expectMachines: expect machines MAX: rented at present.
func (s *script) expectMachines(args []string) {
	s.t.Helper()
	if got := s.w.Cloud.Alive(); got > int(s.number(args[1])) {
		s.fatal("%d machines are rented, more than %s", got, args[1])
	}
}

// expectRented: expect rented MAX: ever rented.
func (s *script) expectRented(args []string) {
	s.t.Helper()
	if got := s.w.Cloud.Rented; got > int(s.number(args[1])) {
		s.fatal("%d machines were ever rented, more than %s", got, args[1])
	}
}

// expectRents: expect rents COUNT: at least so many were ever rented.
func (s *script) expectRents(args []string) {
	s.t.Helper()
	if got := s.w.Cloud.Rented; got < int(s.number(args[1])) {
		s.fatal("only %d machines were ever rented, not %s", got, args[1])
	}
}

// expectLost: expect lost COUNT: machines that were deleted with tasks on them.
func (s *script) expectLost(args []string) {
	s.t.Helper()
	if got := s.w.Cloud.Lost; got != int(s.number(args[1])) {
		s.fatal("%d machines were deleted with tasks on them, not %s", got, args[1])
	}
}

// expectAlive: expect dead MACHINE: it was returned.
func (s *script) expectAlive(args []string) {
	s.t.Helper()
	if alive := s.w.Agents[s.party(args[1])] != nil; alive != (args[0] == "alive") {
		s.fatal("machine %s alive: %v", args[1], alive)
	}
}

// expectRecords: expect records: none of a machine that is gone for 10 s.
func (s *script) expectRecords(_ []string) {
	s.t.Helper()
	for _, machine := range s.w.MachinesGoneFor(10 * time.Second) {
		if s.w.Store.Value("host/"+machine) != nil {
			s.fatal("%s is gone and has a record: %s", machine, s.w.Store.Value("host/"+machine))
		}
	}
}

// expectKeptLine: expect kept FIRST COUNT MIN: of these machines of the start so many were not
// deleted.
func (s *script) expectKeptLine(args []string) {
	s.t.Helper()
	s.expectKept(int(s.number(args[1])), int(s.number(args[2])), int(s.number(args[3])))
}

// expectExpired: expect expired COUNT: leases that ran out under tasks.
func (s *script) expectExpired(args []string) {
	s.t.Helper()
	if got := s.w.Expired; got != int(s.number(args[1])) {
		s.fatal("%d leases ran out, not %s", got, args[1])
	}
}
