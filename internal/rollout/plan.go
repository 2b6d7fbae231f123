package rollout

import (
	"fmt"
	"slices"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Controller is a controller listed in the settings.
type Controller struct{ Name, Zone string }

// Plan is the order in which to stop and replace the controllers, and what prevents stopping the
// first of them now.
type Plan struct {
	Leader    string   `json:"leader"`
	Epoch     uint64   `json:"epoch"`             // epoch of the membership view
	Order     []string `json:"order"`             // controllers still to be replaced, the next one first
	Obstacles []string `json:"not_yet,omitempty"` // reasons not to stop any controller now
}

// NewPlan returns the plan for all controllers of the settings. replaced names those that are
// already replaced, the most recent last.
func NewPlan(all []Controller, replaced []string, s State) Plan {
	if s.View == nil {
		return Plan{Obstacles: []string{"there is no view: nobody leads"}}
	}
	p := Plan{
		Leader: s.View.Leader,
		Epoch:  s.View.Epoch,
		Order:  order(all, replaced, s.View.Leader),
	}
	for _, c := range all {
		incarnation := s.View.Incarnation(c.Name)
		switch {
		case incarnation == 0:
			p.Obstacles = append(p.Obstacles, c.Name+" is not in the view")
		case s.Incarnations[c.Name] != incarnation:
			p.Obstacles = append(p.Obstacles, c.Name+" has just ended or come back: the view names another incarnation of it")
		}
	}
	for _, name := range s.Probed {
		p.Obstacles = append(p.Obstacles, name+" is called and has not answered")
	}
	for _, member := range s.View.Members {
		if reason := unresponsiveObstacle(member, s); reason != "" {
			p.Obstacles = append(p.Obstacles, reason)
		}
	}
	if len(s.View.Members) < 2 {
		p.Obstacles = append(p.Obstacles, "nobody else is there to take over")
	}
	return p
}

// unresponsiveObstacle returns an obstacle if too large a share of a member's machines is
// unresponsive, and "" otherwise.
func unresponsiveObstacle(member members.Member, s State) string {
	unresponsive, machines := s.Unresponsive[member.Name], s.Machines[member.Name]
	if float64(unresponsive) <= tuning.MaxRolloutUnresponsive*float64(machines) {
		return ""
	}
	return fmt.Sprintf("%s does not hear %d of %d machines", member.Name, unresponsive, machines)
}

// ReasonsAgainst returns the reasons why a controller may not be stopped now. It returns none if
// the controller may be stopped.
func (p *Plan) ReasonsAgainst(name string) []string {
	reasons := slices.Clone(p.Obstacles)
	switch position := slices.Index(p.Order, name); {
	case position < 0:
		reasons = append(reasons, name+" is not among those still to be replaced")
	case name == p.Leader && len(p.Order) > 1:
		reasons = append(reasons, name+" leads, and goes last")
	}
	return reasons
}
