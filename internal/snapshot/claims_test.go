package snapshot

import (
	"fmt"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
)

// Claims that do not fit into one value are continued in others, which the check must read too.
func TestCheckReadsEveryValueOfTheClaims(t *testing.T) {
	claims := fleet.Claims{}
	for i := range 30 {
		claims[fmt.Sprintf("wk-%02d", i)] = []string{fmt.Sprintf("i-%d", 2*i), fmt.Sprintf("i-%d", 2*i+1)}
	}
	values := claims.Divide(350)
	if len(values) < 3 {
		t.Fatalf("the claims fit into %d values", len(values))
	}
	put := func(s *State, number int, value any) {
		key := fleet.ClaimsKeyOf(number)
		s.Items[key] = store.Item{Key: key, Value: jobs.Encode(value), Revision: 1}
	}
	for name, c := range map[string]struct {
		change func(s *State)
		want   string
	}{
		"whole": {
			func(*State) {},
			"",
		},
		"unreadable first value": {
			func(s *State) { put(s, 1, 7) },
			"{claims can't be read",
		},
		"unreadable continuation": {
			func(s *State) { put(s, 2, 7) },
			"{claims/more:2 can't be read",
		},
		"missing continuation": {
			func(s *State) { delete(s.Items, fleet.ClaimsKeyOf(3)) },
			"continued in claims/more:3, which is missing",
		},
		"machine claimed for two jobs": {
			func(s *State) { put(s, 2, fleet.Claims{"wk-99": {"i-0"}}) },
			"i-0 is claimed for wk-00 and for wk-99",
		},
		"value of a former leader": {
			func(s *State) { put(s, 9, fleet.Claims{"wk-99": {"i-0"}}) },
			"",
		},
	} {
		t.Run(name, func(t *testing.T) {
			source := changingStore()
			s := &State{Epoch: source.epoch, Items: source.items}
			for i, value := range values {
				put(s, i+1, value)
			}
			c.change(s)
			got := fmt.Sprint(Check(s, nil).Findings)
			if (c.want == "" && got != "[]") || !strings.Contains(got, c.want) {
				t.Errorf("findings: %s", got)
			}
		})
	}
}
