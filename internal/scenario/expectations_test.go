package scenario

import "fmt"

// expectFunc checks one expectation; args are the words after "expect".
type expectFunc func(s *script, args []string)

// expectations holds all expectations by their first word.
var expectations = joinExpectations()

func joinExpectations() map[string]expectFunc {
	joined := map[string]expectFunc{}
	tables := []map[string]expectFunc{
		controllerExpectations,
		machineExpectations,
		serviceExpectations,
		jobExpectations,
	}
	for _, table := range tables {
		for name, check := range table {
			if joined[name] != nil {
				panic(fmt.Sprintf("expectation %q is in two tables", name))
			}
			joined[name] = check
		}
	}
	return joined
}

// expect checks one expectation. A first word that isn't in expectations is a job: "expect JOB
// done|cancelled|running|pending|refused".
func (s *script) expect(args []string) {
	s.t.Helper()
	if check := expectations[args[0]]; check != nil {
		check(s, args)
		return
	}
	want := args[1]
	if want == "refused" {
		want = "422"
	}
	if got := s.job(args[0]).Status; got != want {
		s.fatal("%s is %q, want %q", args[0], got, want)
	}
}
