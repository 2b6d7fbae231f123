package settings

import (
	"math"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// BaseLoad is the load while no decisions are taken, as shares of what the deployment allows.
type BaseLoad struct {
	Requests   float64 // requests of all controllers to the state service, of its limit
	Follower   float64 // requests of one follower, of its share of the budget
	Throttled  float64 // the same while calls wait for the budget
	CloudCalls float64 // the leader's calls to the cloud, of its budget
	Writes     float64 // the leader's writes, of the state service's limit
}

// BaseLoad returns the highest base load: users query all the time, and changes keep all watches
// busy. pages is the number of pages of the cloud's list. While calls wait for the budget, the
// epoch is read less often for the queries.
func (c Cluster) BaseLoad(pages int) BaseLoad {
	controllers := float64(max(c.Size, 1))
	renewals := 1 / tuning.MemberRenew.Seconds()
	watches := c.State.RPS * tuning.WatchShare / controllers
	perController := renewals + watches + 1/tuning.QueryGap.Seconds()
	throttled := renewals + watches + 1/tuning.QueryRetry.Seconds()
	followerBudget := c.State.RPS * tuning.StateBudgetShare
	if controllers > 1 {
		followerBudget *= (1 - tuning.LeaderShare) / (controllers - 1)
	}
	listInterval := max(tuning.ListEvery.Seconds(), float64(pages)/(c.Cloud.RPS*tuning.ListShare))
	cloudCalls := float64(pages)/listInterval + 1/tuning.CatalogEvery.Seconds()
	return BaseLoad{
		Requests:   controllers * perController / c.State.RPS,
		Follower:   perController / followerBudget,
		Throttled:  throttled / followerBudget,
		CloudCalls: cloudCalls / (c.Cloud.RPS * tuning.CloudBudgetShare),
		Writes:     1 / tuning.AutoscalerStep.Seconds() / c.State.WriteRPS,
	}
}

// StartupAttributes returns the attributes of the log line `fits` (docs/operations.md): the times
// computed from the settings, in seconds, and the share of each budget that the base load takes,
// in percent, if the cloud's list has one page.
func (c Cluster) StartupAttributes() []any {
	workers := c.Workers
	load := c.BaseLoad(1)
	percent := func(share float64) int { return int(math.Round(100 * share)) }
	minCancel := max(c.minCancelTime(), seconds(workers.LeaseS)+tuning.CancelLeaseMargin)
	return []any{
		"asked_s", workers.HeartbeatLateAfter().Seconds(),
		"quiet_s", workers.UnresponsiveAfter().Seconds(),
		"gone_s", workers.LeaseOverAfter().Seconds(),
		"cancel_delete_s", c.CancelDelete().Seconds(),
		"lease_s_least", workers.MinLease(tuning.MemberTTL).Seconds(),
		"cancel_s_least", minCancel.Seconds(),
		"requests_pct", percent(load.Requests),
		"follower_pct", percent(load.Follower),
		"follower_yields_pct", percent(load.Throttled),
		"cloud_pct", percent(load.CloudCalls),
	}
}
