// Package settings reads the platform's TOML file and the operators' optional
// HCL file, and checks both whole before anything starts.
package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Settings is everything a node is told.
type Settings struct {
	NodeName   string  `toml:"node_name"`
	Zone       string  `toml:"zone"`
	Front      string  `toml:"front"`
	PeerListen string  `toml:"peer_listen"`
	Peers      []Peer  `toml:"peers"`
	Outside    Outside `toml:"outside"`
	Cluster    Cluster `toml:"cluster"`

	Operator Operator `toml:"-"`
}

// Peer is another controller.
type Peer struct {
	NodeName string `toml:"node_name"`
	Zone     string `toml:"zone"`
	Address  string `toml:"address"`
}

// PeerNames names the other controllers.
func (s *Settings) PeerNames() []string {
	names := make([]string, 0, len(s.Peers))
	for _, p := range s.Peers {
		names = append(names, p.NodeName)
	}
	return names
}

// Outside holds the addresses of the services.
type Outside struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster is what all nodes share.
type Cluster struct {
	Size       int         `toml:"size"`
	Zones      []string    `toml:"zones"`
	ClockOffMs float64     `toml:"clock_off_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"limits"`
}

// Team is a team's guarantee and limit.
type Team struct {
	Name    string  `toml:"name"`
	Cpus    float64 `toml:"cpus"`
	CpusMax float64 `toml:"cpus_max"`
	Gpus    float64 `toml:"gpus"`
	GpusMax float64 `toml:"gpus_max"`
}

// Objective is an aim for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers holds the workers' times, in seconds.
type Workers struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// State holds the state service's limits.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits holds the process's own limits.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	FdLimit  int     `toml:"fd_limit"`
}

// Load reads and checks the settings. operatorFiles may be empty, or name several
// files with commas between. The error joins every fault found.
func Load(file, operatorFiles string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, errs := Parse(b)
	op, opErrs := loadOperator(operatorFiles)
	s.Operator = op
	if len(errs) == 0 && len(opErrs) == 0 {
		if err := s.checkTTL(); err != nil {
			opErrs = append(opErrs, err)
		}
	}
	if op.Quotas != nil && len(errs) == 0 {
		_, faults := quota.Build(op.Quotas, s.TeamMap(), s.Classes())
		for _, f := range faults {
			opErrs = append(opErrs, errors.New("quotas: "+f))
		}
	}
	if op.Calendar != nil && len(errs) == 0 {
		opErrs = append(opErrs, s.checkCalendar(op.Calendar)...)
	}
	return s, errors.Join(append(errs, opErrs...)...)
}

// checkCalendar tells every fault of the calendar, by its place.
func (s *Settings) checkCalendar(d *calendar.Document) (errs []error) {
	_, faults := calendar.Build(d, calendar.Known{Teams: s.TeamMap(), Classes: s.Classes()}, d.Latest())
	for _, f := range faults {
		errs = append(errs, errors.New("calendar: "+f))
	}
	if size := len(calendar.EncodeDocument(d)); float64(size) > s.Cluster.State.ValueKB*1024 {
		errs = append(errs, fmt.Errorf("calendar: takes %d bytes, more than a value of the state service holds", size))
	}
	return errs
}

// Parse reads and checks the platform's file. Unknown fields are ignored.
func Parse(b []byte) (*Settings, []error) {
	s := &Settings{}
	faults, fields := decode(b, s)
	c := &check{errs: faults, warnings: fields}
	c.that(s.NodeName != "", "node_name", "is missing")
	c.that(
		s.NodeName == "" || fleet.ValidName(s.NodeName),
		"node_name",
		"is no name that can be part of a key: at most 150 bytes, no spaces",
	)
	c.address("front", s.Front)
	c.address("peer_listen", s.PeerListen)
	seen := map[string]bool{s.NodeName: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		c.that(p.NodeName != "", field+".node_name", "is missing")
		c.that(
			p.NodeName == "" || fleet.ValidName(p.NodeName),
			field+".node_name",
			"is no name that can be part of a key: at most 150 bytes, no spaces",
		)
		c.that(!seen[p.NodeName], field+".node_name", "is used twice")
		seen[p.NodeName] = true
		c.address(field+".address", p.Address)
	}
	c.address("outside.cloud", s.Outside.Cloud)
	c.address("outside.state", s.Outside.State)
	k := &s.Cluster
	c.that(k.Size >= 1, "cluster.size", "must be at least 1")
	c.that(len(k.Zones) > 0, "cluster.zones", "must name a zone")
	c.that(k.ClockOffMs >= 0, "cluster.clock_off_ms", "must not be negative")
	teams := map[string]bool{}
	for i, t := range k.Teams {
		field := fmt.Sprintf("cluster.teams[%d]", i)
		c.that(t.Name != "", field+".name", "is missing")
		c.that(!teams[t.Name], field+".name", "is used twice")
		teams[t.Name] = true
		c.that(t.Cpus >= 0 && t.CpusMax >= 0, field+".cpus", "must not be negative")
		c.that(t.Gpus >= 0 && t.GpusMax >= 0, field+".gpus", "must not be negative")
	}
	c.positive("cluster.workers.report_s", k.Workers.ReportS)
	c.positive("cluster.workers.lease_s", k.Workers.LeaseS)
	c.positive("cluster.workers.gang_wait_s", k.Workers.GangWaitS)
	c.positive("cluster.workers.gang_peer_s", k.Workers.GangPeerS)
	c.positive("cluster.workers.cancel_s", k.Workers.CancelS)
	c.positive("cluster.state.rps", k.State.RPS)
	c.positive("cluster.state.write_rps", k.State.WriteRPS)
	c.that(k.State.ValueKB >= 1, "cluster.state.value_kb", "must be at least 1")
	c.that(k.State.TxnOps >= 4, "cluster.state.txn_ops", "must be at least 4")
	// The view changes in one transaction, with a change for each member that left.
	c.that(k.Size <= k.State.TxnOps, "cluster.size", "must not be above cluster.state.txn_ops")
	c.positive("cluster.cloud.rps", k.Cloud.RPS)
	c.that(k.Cloud.ListLagS >= 0, "cluster.cloud.list_lag_s", "must not be negative")
	k.checkTimes(c)
	c.positive("cluster.limits.memory_mb", k.Limits.MemoryMB)
	c.that(k.Limits.FdLimit >= 64, "cluster.limits.fd_limit", "must be at least 64")
	return s, c.errs
}

// TeamMap gives the teams by name.
func (s *Settings) TeamMap() map[string]quota.Team {
	out := map[string]quota.Team{}
	for _, t := range s.Cluster.Teams {
		out[t.Name] = quota.Team{
			Name:       t.Name,
			Guaranteed: quota.Of(t.Cpus, t.Gpus, 0),
			Max:        quota.Of(t.CpusMax, t.GpusMax, 0),
		}
	}
	return out
}

// index is the place in a list that a field's name may hold.
var index = regexp.MustCompile(`\[\d+\]`)

type check struct {
	errs     []error
	warnings []string // fields whose form is faulty already
}

func (c *check) that(ok bool, field, what string) {
	if !ok && !slices.Contains(c.warnings, index.ReplaceAllString(field, "")) &&
		!slices.Contains(c.warnings, field[strings.LastIndexByte(field, '.')+1:]) {
		c.errs = append(c.errs, fmt.Errorf("%s: %s", field, what))
	}
}

func (c *check) positive(field string, v float64) {
	c.that(v > 0, field, "must be above 0")
}

func (c *check) address(field, v string) {
	machine, port, err := net.SplitHostPort(v)
	if err != nil {
		c.that(false, field, fmt.Sprintf("%q is not address:port", v))
		return
	}
	ip := net.ParseIP(machine)
	n, perr := strconv.Atoi(port)
	c.that(ip != nil && ip.To4() != nil, field, fmt.Sprintf("%q is not an IPv4 address", machine))
	c.that(perr == nil && n > 0 && n < 65536, field, fmt.Sprintf("%q is not a port", port))
}

// Zones are the zones of all controllers by name.
func (s *Settings) Zones() map[string]string {
	out := map[string]string{s.NodeName: s.Zone}
	for _, p := range s.Peers {
		out[p.NodeName] = p.Zone
	}
	return out
}

// Classes lists the classes of jobs that the objectives name; none are known
// where there are no objectives.
func (s *Settings) Classes() []string {
	var out []string
	for _, o := range s.Cluster.Objectives {
		if o.Class != "" && !slices.Contains(out, o.Class) {
			out = append(out, o.Class)
		}
	}
	return out
}
