package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Cloud simulates the cloud provider.
type Cloud struct {
	sim       *Simulator
	Down      bool
	BootS     float64 // from renting a machine until it is up, plus or minus 20 %
	LagS      float64 // age of the state that lists show
	Limit     int     // maximum number of machines
	NeverBoot int     // number of next machines that never boot

	machines    map[string]*cloudMachine
	lastMachine int // number in the latest machine ID
	rentals     map[string]rentalResult
	Rented      int // machines created
	Lost        int // machines that were deleted while tasks were on them
	deleted     int

	// RPS limits requests per second, with bursts of two seconds' worth; 0 disables it. Refused
	// counts the requests that exceeded it.
	RPS        float64
	Refused    int
	burstUsed  float64 // part of the burst that is used up
	refilledAt time.Time
}

// allow reports whether the rate limit admits a request, and charges it.
func (c *Cloud) allow() bool {
	if c.RPS == 0 {
		return true
	}
	c.burstUsed = max(0, c.burstUsed-c.sim.Now.Sub(c.refilledAt).Seconds()*c.RPS)
	c.refilledAt = c.sim.Now
	if c.burstUsed+1 > 2*c.RPS {
		c.Refused++
		return false
	}
	c.burstUsed++
	return true
}

// cloudMachine is a machine as the cloud knows it.
type cloudMachine struct {
	ID, MachineType, Zone string
	Spot                  bool
	createdAt, upAt       time.Time
	status                string
	deletedAt             time.Time
}

// rental is the body of a request to rent machines.
type rental struct {
	Name        string `json:"hire"` // idempotency key: repeated requests rent only once
	MachineType string `json:"build"`
	Zone        string `json:"site"`
	Spot        bool   `json:"loaner"`
	Count       int    `json:"count"`
}

// machineDeletion is the body of a request to delete machines.
type machineDeletion struct {
	Machines []string `json:"hosts"`
}

// rentalResult is a rental request that was granted, and the machines that it created.
type rentalResult struct {
	body     string
	machines []string
}

// machineTypes is the catalog of the simulated cloud: a type with 4 accelerators and one with 8.
var machineTypes = []map[string]any{
	{
		"name":          "g4",
		"cores":         32,
		"accelerators":  4,
		"memory_gb":     256,
		"cache_gb":      100,
		"pull_gb_per_s": 1,
		"hourly":        10,
		"low_price":     3,
		"ready_s":       20,
		"sites":         []string{"a", "b"},
	},
	{
		"name":          "g8",
		"cores":         64,
		"accelerators":  8,
		"memory_gb":     512,
		"cache_gb":      100,
		"pull_gb_per_s": 1,
		"hourly":        22,
		"low_price":     7,
		"ready_s":       20,
		"sites":         []string{"a", "b"},
	},
}

func newCloud(sim *Simulator) *Cloud {
	return &Cloud{
		sim:      sim,
		BootS:    20,
		LagS:     4,
		Limit:    40,
		machines: map[string]*cloudMachine{},
		rentals:  map[string]rentalResult{},
	}
}

// Call returns the function through which a node sends requests to the cloud.
func (c *Cloud) Call(
	from string,
) func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
	return func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		serve := func(answer func(int, []byte)) {
			if c.Down {
				answer(503, []byte(`{"error":"trouble"}`))
				return
			}
			status, b := c.serve(method, target, body)
			answer(status, b)
		}
		if method == "POST" {
			serve = c.sim.maybeDelay("rent", c.sim.withCopies(CloudChanges, serve))
		}
		if method == "POST" && target == "/hosts" {
			serve, done = c.sim.observeRent(serve, done)
		}
		c.sim.call(from, "cloud", timeout, serve, done)
	}
}

// Serve answers a request that arrived over a socket.
func (c *Cloud) Serve(method, target string, body []byte, answer func(int, []byte)) {
	answer(c.serve(method, target, body))
}

func (c *Cloud) serve(method, target string, body []byte) (int, []byte) {
	path, query, _ := strings.Cut(target, "?")
	if !c.allow() {
		return 429, []byte("{}")
	}
	q, _ := url.ParseQuery(query)
	if why := c.requestFault(method, path, q, body); why != "" {
		c.sim.ReportLimitViolation("the cloud refuses %s %s: %s", method, target, why)
		return 400, encode(map[string]string{"error": why})
	}
	switch {
	case path == "/catalog":
		return 200, encode(map[string]any{"builds": machineTypes})
	case path == "/hosts" && method == "POST":
		return c.rent(body)
	case path == "/hosts/delete":
		var deletion machineDeletion
		_ = json.Unmarshal(body, &deletion)
		for _, id := range deletion.Machines {
			if ag := c.sim.Agents[id]; ag != nil && ag.busy() {
				c.Lost++
			}
			c.Remove(id)
		}
		return 200, []byte("{}")
	}
	limit, _ := strconv.Atoi(q.Get("limit"))
	return 200, c.list(q.Get("since"), limit)
}

func (c *Cloud) rent(body []byte) (int, []byte) {
	var r rental
	_ = json.Unmarshal(body, &r)
	if previous, ok := c.rentals[r.Name]; ok {
		if previous.body != string(body) {
			c.sim.ReportViolation("rent name %s used for two requests", r.Name)
		}
		return 200, encode(map[string]any{"hosts": previous.machines})
	}
	var rented []string
	for range r.Count {
		if c.alive() >= c.Limit {
			break
		}
		rented = append(rented, c.add(r.MachineType, r.Zone, r.Spot, c.BootS))
	}
	if len(rented) == 0 {
		return 503, []byte(`{"error":"no capacity"}`)
	}
	c.rentals[r.Name] = rentalResult{string(body), rented}
	return 200, encode(map[string]any{"hosts": rented})
}

func (c *Cloud) alive() int {
	n := 0
	for _, machine := range c.machines {
		if machine.deletedAt.IsZero() && machine.status != "failed" {
			n++
		}
	}
	return n
}

// add creates a machine that is up after about boot seconds, and returns its ID.
func (c *Cloud) add(machineType, zone string, spot bool, boot float64) string {
	c.lastMachine++
	c.Rented++
	machine := &cloudMachine{
		ID:          fmt.Sprintf("i-%06d", c.lastMachine),
		MachineType: machineType,
		Zone:        zone,
		Spot:        spot,
		createdAt:   c.sim.Now,
		status:      "booting",
	}
	c.machines[machine.ID] = machine
	if c.NeverBoot > 0 {
		c.NeverBoot--
		return machine.ID
	}
	c.sim.After(time.Duration(boot*(0.8+0.4*c.sim.RNG.Float64())*float64(time.Second)), func() {
		if machine.deletedAt.IsZero() {
			machine.status, machine.upAt = "running", c.sim.Now
			c.sim.startAgent(machine)
			if boot > 0 {
				c.sim.fireEvent(MachineUp)
			}
		}
	})
	return machine.ID
}

// AddRunning adds a machine that boots at once, and returns its ID.
func (c *Cloud) AddRunning(machineType, zone string, spot bool) string {
	return c.add(machineType, zone, spot, 0)
}

// Remove deletes a machine together with its tasks.
func (c *Cloud) Remove(id string) {
	if machine := c.machines[id]; machine != nil && machine.deletedAt.IsZero() {
		machine.deletedAt = c.sim.Now
		c.deleted++
		c.sim.stopAgent(id)
	}
}

// MachinesGoneFor returns the machines that were deleted or reclaimed longer ago than duration.
func (sim *Simulator) MachinesGoneFor(duration time.Duration) (out []string) {
	for _, id := range slices.Sorted(maps.Keys(sim.Cloud.machines)) {
		if machine := sim.Cloud.machines[id]; !machine.deletedAt.IsZero() && sim.Now.Sub(machine.deletedAt) > duration {
			out = append(out, id)
		}
	}
	return out
}

// Alive returns the number of machines that are neither deleted nor failed, which are the billed
// ones.
func (c *Cloud) Alive() int { return c.alive() }

// list answers a page of the machines as they were LagS seconds ago.
func (c *Cloud) list(since string, limit int) []byte {
	if limit == 0 {
		limit = maxMachinePage
	}
	lag := time.Duration(c.LagS * float64(time.Second))
	asOf := c.sim.Now.Add(-lag)
	var out []map[string]any
	var ids []string
	for id := range c.machines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		machine := c.machines[id]
		if id <= since || machine.createdAt.After(asOf) || (!machine.deletedAt.IsZero() && machine.deletedAt.Before(asOf)) {
			continue
		}
		if len(out) == limit {
			return encode(map[string]any{"hosts": out, "has_next": true})
		}
		out = append(
			out,
			map[string]any{
				"uid":      id,
				"endpoint": c.sim.endpoint(id),
				"build":    machine.MachineType,
				"site":     machine.Zone,
				"loaner":   machine.Spot,
				"status":   machine.status,
				"age_s":    asOf.Sub(machine.createdAt).Seconds(),
			},
		)
	}
	return encode(map[string]any{"hosts": out, "has_next": false})
}
