package settings

import (
	"math"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// BaseLoad is the load while no decision is taken, as shares of what the deployment allows.
type BaseLoad struct {
	Requests     float64 // requests of all controllers to the state service
	Follower     float64 // requests of one follower, of its own share
	Throttled    float64 // the same while calls wait for the budget
	CloudCalls   float64 // the leader's calls to the cloud
	Transactions float64 // the leader's transactions
}

// BaseLoad computes the load with users who query all the time and transactions that keep
// all watches busy, which is the most that it may be. pages is the number of pages of the
// cloud's list. The epoch is read for queries less often while the budget holds other calls
// back.
func (k Cluster) BaseLoad(pages int) BaseLoad {
	controllers := float64(max(k.Size, 1))
	renewals := 1 / tuning.MemberRenew.Seconds()
	watches := k.State.RPS * tuning.WatchShare / controllers
	each := renewals + watches + 1/tuning.QueryGap.Seconds()
	throttled := renewals + watches + 1/tuning.QueryRetry.Seconds()
	followerBudget := k.State.RPS * tuning.StateBudget
	if controllers > 1 {
		followerBudget *= (1 - tuning.LeaderShare) / (controllers - 1)
	}
	listInterval := max(tuning.ListEvery.Seconds(), float64(pages)/(k.Cloud.RPS*tuning.ListShare))
	cloudCalls := float64(pages)/listInterval + 1/tuning.CatalogEvery.Seconds()
	return BaseLoad{
		Requests:     controllers * each / k.State.RPS,
		Follower:     each / followerBudget,
		Throttled:    throttled / followerBudget,
		CloudCalls:   cloudCalls / (k.Cloud.RPS * tuning.CloudBudget),
		Transactions: 1 / tuning.Step.Seconds() / k.State.WriteRPS,
	}
}

// StartupAttributes returns the attributes of the log line `fits` (docs/operations.md):
// the times that follow from the settings, in seconds, and the share of each budget, in
// percent, that the base load takes with a cloud's list of one page.
func (k Cluster) StartupAttributes() []any {
	workers := k.Workers
	load := k.BaseLoad(1)
	percent := func(share float64) int { return int(math.Round(100 * share)) }
	minCancel := max(k.minCancelTime(), seconds(workers.LeaseS)+tuning.CancelSpare)
	return []any{
		"asked_s", workers.HeartbeatLateAfter().Seconds(),
		"quiet_s", workers.UnresponsiveAfter().Seconds(),
		"gone_s", workers.LeaseOverAfter().Seconds(),
		"cancel_delete_s", k.CancelDelete().Seconds(),
		"lease_s_least", workers.MinLease(tuning.MemberTTL).Seconds(),
		"cancel_s_least", minCancel.Seconds(),
		"requests_pct", percent(load.Requests),
		"follower_pct", percent(load.Follower),
		"follower_yields_pct", percent(load.Throttled),
		"cloud_pct", percent(load.CloudCalls),
	}
}
