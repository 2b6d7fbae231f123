// Package settings reads and checks the platform's TOML file and the operators' optional HCL
// files. A program starts nothing before all of them have been checked.
package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Settings holds the configuration of a controller.
type Settings struct {
	NodeName   string  `toml:"node_name"`
	Zone       string  `toml:"zone"`
	Front      string  `toml:"front"`       // address for users and agents
	PeerListen string  `toml:"peer_listen"` // address for the other controllers
	Peers      []Peer  `toml:"peers"`
	Outside    Outside `toml:"outside"`
	Cluster    Cluster `toml:"cluster"`

	Operator Operator `toml:"-"`
}

// Peer identifies another controller and says where it listens for its peers.
type Peer struct {
	NodeName string `toml:"node_name"`
	Zone     string `toml:"zone"`
	Address  string `toml:"address"`
}

// PeerNames returns the names of the other controllers.
func (s *Settings) PeerNames() []string {
	names := make([]string, 0, len(s.Peers))
	for _, p := range s.Peers {
		names = append(names, p.NodeName)
	}
	return names
}

// Outside holds the addresses of the external services: the cloud and the state service.
type Outside struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster holds the settings that all controllers share.
type Cluster struct {
	Size       int         `toml:"size"`
	Zones      []string    `toml:"zones"`
	ClockOffMs float64     `toml:"clock_off_ms"` // how far a controller's clock may be off
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"limits"`
}

// Team holds a team's guarantee and limit (max) in cores and GPUs.
type Team struct {
	Name    string  `toml:"name"`
	Cpus    float64 `toml:"cpus"`
	CpusMax float64 `toml:"cpus_max"`
	Gpus    float64 `toml:"gpus"`
	GpusMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective: the share of cases of a kind, and of a class of jobs if
// one is named, that must take at most WithinS seconds.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers holds the times of the machines' agents, which the platform calls workers, in seconds.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`    // heartbeat interval
	LeaseS     float64 `toml:"lease_s"`     // without an answer for so long, an agent ends its tasks
	GangWaitS  float64 `toml:"gang_wait_s"` // how long a gang's task waits for the others to start
	GangPeerS  float64 `toml:"gang_peer_s"` // how long a gang's tasks continue while one of them hangs
	CancelS    float64 `toml:"cancel_s"`    // within which the tasks of a cancelled job must end
}

// State holds the limits of the state service, a key-value store: requests and writes a second,
// size of a value, and operations in a transaction.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the cloud's limits: calls a second, and how far its list may lag.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits holds the resource limits of the controller's process.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	FdLimit  int     `toml:"fd_limit"`
}

// Load reads and checks the settings. operatorFiles is a comma-separated list of files and may be
// empty. The error joins all faults found.
func Load(file, operatorFiles string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, errs := Parse(b)
	operator, operatorErrs := loadOperator(operatorFiles)
	s.Operator = operator
	if len(errs) > 0 { // the operators' settings cannot be checked against a faulty platform file
		return s, errors.Join(append(errs, operatorErrs...)...)
	}
	if len(operatorErrs) == 0 {
		if err := s.checkMemberTTL(); err != nil {
			operatorErrs = append(operatorErrs, err)
		}
	}
	operatorErrs = append(operatorErrs, s.checkQuotas(operator.Quotas)...)
	operatorErrs = append(operatorErrs, s.checkCalendar(operator.Calendar)...)
	return s, errors.Join(operatorErrs...)
}

// checkQuotas returns all faults of the quotas; nil stands for no quotas.
func (s *Settings) checkQuotas(document *quota.Document) (errs []error) {
	if document == nil {
		return nil
	}
	_, faults := quota.Build(document, s.TeamMap(), s.Classes())
	for _, fault := range faults {
		errs = append(errs, errors.New("quotas: "+fault))
	}
	return errs
}

// checkCalendar returns all faults of the calendar, each with its path; nil stands for no calendar.
func (s *Settings) checkCalendar(document *calendar.Document) (errs []error) {
	if document == nil {
		return nil
	}
	known := calendar.Known{Teams: s.TeamMap(), Classes: s.Classes()}
	_, faults := calendar.Build(document, known, document.LatestStart())
	for _, fault := range faults {
		errs = append(errs, errors.New("calendar: "+fault))
	}
	if size := len(calendar.EncodeDocument(document)); float64(size) > s.Cluster.State.ValueKB*1024 {
		errs = append(errs, fmt.Errorf("calendar: takes %d bytes, more than a value of the state service holds", size))
	}
	return errs
}

// Parse reads and checks the platform's file, and returns all faults found. Unknown fields are
// ignored.
func Parse(b []byte) (*Settings, []error) {
	s := &Settings{}
	errs, malformed := decode(b, s)
	faults := &faultList{errs: errs, malformed: malformed}
	s.checkController(faults)
	s.checkPeers(faults)
	faults.requireAddress("outside.cloud", s.Outside.Cloud)
	faults.requireAddress("outside.state", s.Outside.State)
	s.Cluster.check(faults)
	return s, faults.errs
}

func (s *Settings) checkController(faults *faultList) {
	faults.requireNodeName("node_name", s.NodeName)
	faults.requireAddress("front", s.Front)
	faults.requireAddress("peer_listen", s.PeerListen)
}

func (s *Settings) checkPeers(faults *faultList) {
	used := map[string]bool{s.NodeName: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		faults.requireNodeName(field+".node_name", peer.NodeName)
		faults.require(!used[peer.NodeName], field+".node_name", "is used twice")
		used[peer.NodeName] = true
		faults.requireAddress(field+".address", peer.Address)
	}
}

func (c *Cluster) check(faults *faultList) {
	faults.require(c.Size >= 1, "cluster.size", "must be at least 1")
	faults.require(len(c.Zones) > 0, "cluster.zones", "must name a zone")
	faults.require(c.ClockOffMs >= 0, "cluster.clock_off_ms", "must not be negative")
	c.checkTeams(faults)
	faults.requirePositive("cluster.workers.report_s", c.Workers.HeartbeatS)
	faults.requirePositive("cluster.workers.lease_s", c.Workers.LeaseS)
	faults.requirePositive("cluster.workers.gang_wait_s", c.Workers.GangWaitS)
	faults.requirePositive("cluster.workers.gang_peer_s", c.Workers.GangPeerS)
	faults.requirePositive("cluster.workers.cancel_s", c.Workers.CancelS)
	faults.requirePositive("cluster.state.rps", c.State.RPS)
	faults.requirePositive("cluster.state.write_rps", c.State.WriteRPS)
	faults.require(c.State.ValueKB >= 1, "cluster.state.value_kb", "must be at least 1")
	faults.require(c.State.TxnOps >= 4, "cluster.state.txn_ops", "must be at least 4")
	// The view changes in one transaction, with an operation for each member that left.
	faults.require(c.Size <= c.State.TxnOps, "cluster.size", "must not be above cluster.state.txn_ops")
	faults.requirePositive("cluster.cloud.rps", c.Cloud.RPS)
	faults.require(c.Cloud.ListLagS >= 0, "cluster.cloud.list_lag_s", "must not be negative")
	c.checkTimes(faults)
	faults.requirePositive("cluster.limits.memory_mb", c.Limits.MemoryMB)
	faults.require(c.Limits.FdLimit >= 64, "cluster.limits.fd_limit", "must be at least 64")
}

func (c *Cluster) checkTeams(faults *faultList) {
	used := map[string]bool{}
	for i, team := range c.Teams {
		field := fmt.Sprintf("cluster.teams[%d]", i)
		faults.require(team.Name != "", field+".name", "is missing")
		faults.require(!used[team.Name], field+".name", "is used twice")
		used[team.Name] = true
		faults.require(team.Cpus >= 0 && team.CpusMax >= 0, field+".cpus", "must not be negative")
		faults.require(team.Gpus >= 0 && team.GpusMax >= 0, field+".gpus", "must not be negative")
	}
}

// TeamMap returns the teams, by name.
func (s *Settings) TeamMap() map[string]quota.Team {
	teams := map[string]quota.Team{}
	for _, team := range s.Cluster.Teams {
		teams[team.Name] = quota.Team{
			Name:       team.Name,
			Guaranteed: quota.NewAmount(team.Cpus, team.Gpus, 0),
			Limit:      quota.NewAmount(team.CpusMax, team.GpusMax, 0),
		}
	}
	return teams
}

// Zones returns the zones of all controllers, by controller name.
func (s *Settings) Zones() map[string]string {
	zones := map[string]string{s.NodeName: s.Zone}
	for _, peer := range s.Peers {
		zones[peer.NodeName] = peer.Zone
	}
	return zones
}

// Classes returns the job classes that the objectives name.
func (s *Settings) Classes() []string {
	var classes []string
	for _, objective := range s.Cluster.Objectives {
		if objective.Class != "" && !slices.Contains(classes, objective.Class) {
			classes = append(classes, objective.Class)
		}
	}
	return classes
}
