package scenario

import "fmt"

// verbFunc carries out one timed line; args are its words after the verb.
type verbFunc func(s *script, args []string)

// verbs has each verb of a timed line. It is filled in init, since some verbs carry out
// others, by way of do.
var verbs = map[string]verbFunc{}

func init() {
	for _, table := range []map[string]verbFunc{controllerVerbs, machineVerbs, serviceVerbs, jobVerbs} {
		for name, carryOut := range table {
			if verbs[name] != nil {
				panic(fmt.Sprintf("verb %q stands in two tables", name))
			}
			verbs[name] = carryOut
		}
	}
}

// withName makes a verb of a function that carries out several and needs the name.
func withName(verb string, carryOut func(s *script, verb string, args []string)) verbFunc {
	return func(s *script, args []string) { carryOut(s, verb, args) }
}

// do carries out one timed line.
func (s *script) do(verb string, args []string) {
	carryOut := verbs[verb]
	if carryOut == nil {
		s.fatal("unknown verb %q", verb)
	}
	carryOut(s, args)
}
