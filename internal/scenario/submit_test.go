package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/harrierreel/harrierreel/internal/simulation"
)

// submission is a job to be submitted, with the fields of its request that simulation.Job lacks.
type submission struct {
	job      *simulation.Job
	priority string
	due      string // JSON: seconds, or null
	class    string
	cores    float64
	gb       float64 // image size
}

// properties set the fields of a submission, by the key on the line.
var properties = map[string]func(s *script, sub *submission, value string){
	"pieces": func(s *script, sub *submission, value string) {
		sub.job.TaskCount = int(s.number(value))
	},
	"accel": func(s *script, sub *submission, value string) {
		sub.job.Accelerators = s.number(value)
	},
	"cores": func(s *script, sub *submission, value string) {
		sub.cores = s.number(value)
	},
	"run": func(s *script, sub *submission, value string) {
		sub.job.RunS = s.number(value)
	},
	// apart: the seconds between the ends of its tasks
	"apart": func(s *script, sub *submission, value string) {
		sub.job.RunIncrementS = s.number(value)
	},
	"pull": func(s *script, sub *submission, value string) {
		sub.job.PullS = s.number(value)
	},
	// gb: an image of its own of that size
	"gb": func(s *script, sub *submission, value string) {
		sub.job.PullS, sub.gb, sub.job.Image = s.number(value), s.number(value), "img-"+value
	},
	"owner": func(_ *script, sub *submission, value string) {
		sub.job.Team = value
	},
	"rank": func(_ *script, sub *submission, value string) {
		sub.priority = value
	},
	"same_place": func(_ *script, sub *submission, _ string) {
		sub.job.SameZone = true
	},
	"scatter": func(_ *script, sub *submission, _ string) {
		sub.job.SpreadZones = true
	},
	"loaner": func(_ *script, sub *submission, _ string) {
		sub.job.Spot = true
	},
	"site": func(_ *script, sub *submission, value string) {
		sub.job.Zone = value
	},
	"builds": func(_ *script, sub *submission, value string) {
		sub.job.MachineTypes = strings.Split(value, ",")
	},
	"fail": func(s *script, sub *submission, value string) {
		sub.job.FailOn = s.endpoint(value)
	},
	// image: image=NAME:GB
	"image": func(s *script, sub *submission, value string) {
		image, size, _ := strings.Cut(value, ":")
		sub.job.Image, sub.gb = image, s.number(size)
	},
	"snapshot": func(s *script, sub *submission, value string) {
		sub.job.CheckpointIntervalS = s.number(value)
	},
	"class": func(_ *script, sub *submission, value string) {
		sub.class = value
	},
	"due": func(_ *script, sub *submission, value string) {
		sub.due = value
	},
}

// submit executes "submit UID SHAPE [key=value ...]".
func (s *script) submit(args []string) {
	sub := &submission{
		job: &simulation.Job{
			ID:           args[0],
			Kind:         args[1],
			TaskCount:    1,
			Accelerators: 1,
			RunS:         10,
			PullS:        1,
			Team:         "team",
			Image:        "img-1",
		},
		priority: "standard",
		due:      "null",
		class:    "c",
		cores:    2,
		gb:       1,
	}
	for _, arg := range args[2:] {
		key, value, _ := strings.Cut(arg, "=")
		set := properties[key]
		if set == nil {
			s.fatal("unknown property %q", key)
		}
		set(s, sub, value)
	}
	sub.job.Class = sub.class
	sub.job.Body = sub.body()
	s.sim.Submit(sub.job)
}

// body returns the request body.
func (sub *submission) body() []byte {
	j := sub.job
	builds := "null"
	if j.MachineTypes != nil {
		builds = `["` + strings.Join(j.MachineTypes, `","`) + `"]`
	}
	zone := "null"
	if j.Zone != "" {
		zone = strconv.Quote(j.Zone)
	}
	return fmt.Appendf(
		nil,
		`{"uid":%q,"jobclass":%q,"owner":%q,"shape":%q,"rank":%q,"pieces":%d,"cores":%v,"accelerators":%v,"memory_gb":8,
		"bundle":%q,"pull_gb":%v,"builds":%s,"site":%s,"same_place":%v,"scatter":%v,"loaner":%v,`+
			`"expect_s":%v,"snapshot_s":%v,"stash_s":1,"due_s":%s}`,
		j.ID,
		sub.class,
		j.Team,
		j.Kind,
		sub.priority,
		j.TaskCount,
		sub.cores,
		j.Accelerators,
		j.Image,
		sub.gb,
		builds,
		zone,
		j.SameZone,
		j.SpreadZones,
		j.Spot,
		j.RunS,
		j.CheckpointIntervalS,
		sub.due,
	)
}
