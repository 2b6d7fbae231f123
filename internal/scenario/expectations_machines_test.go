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

// expectMachines checks "expect machines MAX": machines rented at present.
func (s *script) expectMachines(args []string) {
	s.t.Helper()
	if got := s.sim.Cloud.Alive(); got > int(s.number(args[1])) {
		s.fatal("%d machines are rented, more than %s", got, args[1])
	}
}

// expectRented checks "expect rented MAX": machines ever rented.
func (s *script) expectRented(args []string) {
	s.t.Helper()
	if got := s.sim.Cloud.Rented; got > int(s.number(args[1])) {
		s.fatal("%d machines were ever rented, more than %s", got, args[1])
	}
}

// expectRents checks "expect rents MIN": machines ever rented.
func (s *script) expectRents(args []string) {
	s.t.Helper()
	if got := s.sim.Cloud.Rented; got < int(s.number(args[1])) {
		s.fatal("only %d machines were ever rented, want %s", got, args[1])
	}
}

// expectLost checks "expect lost COUNT": machines deleted with tasks on them.
func (s *script) expectLost(args []string) {
	s.t.Helper()
	if got := s.sim.Cloud.Lost; got != int(s.number(args[1])) {
		s.fatal("%d machines were deleted with tasks on them, want %s", got, args[1])
	}
}

// expectAlive checks "expect alive MACHINE" and "expect dead MACHINE": whether the machine exists.
func (s *script) expectAlive(args []string) {
	s.t.Helper()
	if alive := s.sim.Agents[s.endpoint(args[1])] != nil; alive != (args[0] == "alive") {
		s.fatal("machine %s alive: %v", args[1], alive)
	}
}

// expectRecords checks "expect records": no machine that has been gone for 10 s has a record.
func (s *script) expectRecords(_ []string) {
	s.t.Helper()
	for _, machine := range s.sim.MachinesGoneFor(10 * time.Second) {
		if s.sim.Store.Value("host/"+machine) != nil {
			s.fatal("%s is gone but has a record: %s", machine, s.sim.Store.Value("host/"+machine))
		}
	}
}

// expectKeptLine checks "expect kept FIRST COUNT MIN": how many of these initial machines still
// exist.
func (s *script) expectKeptLine(args []string) {
	s.t.Helper()
	s.expectKept(int(s.number(args[1])), int(s.number(args[2])), int(s.number(args[3])))
}

// expectExpired checks "expect expired COUNT": leases that expired on machines with tasks.
func (s *script) expectExpired(args []string) {
	s.t.Helper()
	if got := s.sim.ExpiredLeases; got != int(s.number(args[1])) {
		s.fatal("%d leases expired, want %s", got, args[1])
	}
}
