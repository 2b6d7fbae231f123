// Package settings reads the platform's TOML file and the operators' optional
// HCL file, and checks both whole before anything starts.
package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Settings is everything that a controller is configured with.
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

// PeerNames returns the names of the other controllers.
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

// Cluster holds the settings that all controllers share.
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

// Team is a team's guarantee and limit (max), in cores and GPUs.
type Team struct {
	Name    string  `toml:"name"`
	Cpus    float64 `toml:"cpus"`
	CpusMax float64 `toml:"cpus_max"`
	Gpus    float64 `toml:"gpus"`
	GpusMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective, by its kind: the share of cases (of a class of
// jobs, where one is named) that is to take at most WithinS seconds.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers holds the workers' times, in seconds.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	GangWaitS  float64 `toml:"gang_wait_s"`
	GangPeerS  float64 `toml:"gang_peer_s"`
	CancelS    float64 `toml:"cancel_s"`
}

// State holds the limits of the key-value store: requests and transactions a second, size of
// a value and operations in a transaction.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the cloud's limits: calls a second, and how late its list may be.
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
	operator, operatorErrs := loadOperator(operatorFiles)
	s.Operator = operator
	if len(errs) > 0 { // what the operators' settings are checked against is not reliable
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

// checkQuotas returns every fault of the quotas, if there are any.
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

// checkCalendar returns every fault of the calendar, if there is one, by its place.
func (s *Settings) checkCalendar(document *calendar.Document) (errs []error) {
	if document == nil {
		return nil
	}
	known := calendar.Known{Teams: s.TeamMap(), Classes: s.Classes()}
	_, faults := calendar.Build(document, known, document.Latest())
	for _, fault := range faults {
		errs = append(errs, errors.New("calendar: "+fault))
	}
	if size := len(calendar.EncodeDocument(document)); float64(size) > s.Cluster.State.ValueKB*1024 {
		errs = append(errs, fmt.Errorf("calendar: takes %d bytes, more than a value of the state service holds", size))
	}
	return errs
}

// Parse reads and checks the platform's file, and returns every fault found. Unknown
// fields are ignored.
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

func (k *Cluster) check(faults *faultList) {
	faults.require(k.Size >= 1, "cluster.size", "must be at least 1")
	faults.require(len(k.Zones) > 0, "cluster.zones", "must name a zone")
	faults.require(k.ClockOffMs >= 0, "cluster.clock_off_ms", "must not be negative")
	k.checkTeams(faults)
	faults.requirePositive("cluster.workers.report_s", k.Workers.HeartbeatS)
	faults.requirePositive("cluster.workers.lease_s", k.Workers.LeaseS)
	faults.requirePositive("cluster.workers.gang_wait_s", k.Workers.GangWaitS)
	faults.requirePositive("cluster.workers.gang_peer_s", k.Workers.GangPeerS)
	faults.requirePositive("cluster.workers.cancel_s", k.Workers.CancelS)
	faults.requirePositive("cluster.state.rps", k.State.RPS)
	faults.requirePositive("cluster.state.write_rps", k.State.WriteRPS)
	faults.require(k.State.ValueKB >= 1, "cluster.state.value_kb", "must be at least 1")
	faults.require(k.State.TxnOps >= 4, "cluster.state.txn_ops", "must be at least 4")
	// The view changes in one transaction, with an operation for each member that left.
	faults.require(k.Size <= k.State.TxnOps, "cluster.size", "must not be above cluster.state.txn_ops")
	faults.requirePositive("cluster.cloud.rps", k.Cloud.RPS)
	faults.require(k.Cloud.ListLagS >= 0, "cluster.cloud.list_lag_s", "must not be negative")
	k.checkTimes(faults)
	faults.requirePositive("cluster.limits.memory_mb", k.Limits.MemoryMB)
	faults.require(k.Limits.FdLimit >= 64, "cluster.limits.fd_limit", "must be at least 64")
}

func (k *Cluster) checkTeams(faults *faultList) {
	used := map[string]bool{}
	for i, team := range k.Teams {
		field := fmt.Sprintf("cluster.teams[%d]", i)
		faults.require(team.Name != "", field+".name", "is missing")
		faults.require(!used[team.Name], field+".name", "is used twice")
		used[team.Name] = true
		faults.require(team.Cpus >= 0 && team.CpusMax >= 0, field+".cpus", "must not be negative")
		faults.require(team.Gpus >= 0 && team.GpusMax >= 0, field+".gpus", "must not be negative")
	}
}

// TeamMap returns the teams by name.
func (s *Settings) TeamMap() map[string]quota.Team {
	teams := map[string]quota.Team{}
	for _, team := range s.Cluster.Teams {
		teams[team.Name] = quota.Team{
			Name:       team.Name,
			Guaranteed: quota.Of(team.Cpus, team.Gpus, 0),
			Max:        quota.Of(team.CpusMax, team.GpusMax, 0),
		}
	}
	return teams
}

// Zones returns the zones of all controllers by name.
func (s *Settings) Zones() map[string]string {
	zones := map[string]string{s.NodeName: s.Zone}
	for _, peer := range s.Peers {
		zones[peer.NodeName] = peer.Zone
	}
	return zones
}

// Classes returns the classes of jobs that the objectives name; none are known
// where there are no objectives.
func (s *Settings) Classes() []string {
	var classes []string
	for _, objective := range s.Cluster.Objectives {
		if objective.Class != "" && !slices.Contains(classes, objective.Class) {
			classes = append(classes, objective.Class)
		}
	}
	return classes
}
