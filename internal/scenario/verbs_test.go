package scenario

import "fmt"

// verbFunc executes one timed line; args are the words after the verb.
type verbFunc func(s *script, args []string)

// verbs holds all verbs of timed lines. It is filled in init, as some verbs execute others through
// do, which would be an initialization cycle.
var verbs = map[string]verbFunc{}

func init() {
	for _, table := range []map[string]verbFunc{controllerVerbs, machineVerbs, serviceVerbs, jobVerbs} {
		for name, execute := range table {
			if verbs[name] != nil {
				panic(fmt.Sprintf("verb %q is in two tables", name))
			}
			verbs[name] = execute
		}
	}
}

// withName adapts a function that implements several verbs and needs the name of the one executed.
func withName(verb string, execute func(s *script, verb string, args []string)) verbFunc {
	return func(s *script, args []string) { execute(s, verb, args) }
}

// do executes one timed line.
func (s *script) do(verb string, args []string) {
	execute := verbs[verb]
	if execute == nil {
		s.fatal("unknown verb %q", verb)
	}
	execute(s, args)
}
