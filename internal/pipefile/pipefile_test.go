package pipefile

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// TestEveryFaultIsReportedAtItsPosition checks, for each file in testdata, that exactly the faults
// in its "#! " comments are reported, each at its line and column.
func TestEveryFaultIsReportedAtItsPosition(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no files", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		want := map[string]bool{}
		for _, line := range strings.Split(string(text), "\n") {
			if fault, ok := strings.CutPrefix(line, "#! "); ok {
				want[strings.TrimSpace(fault)] = true
			}
		}
		_, faults := Load(file)
		for _, f := range faults {
			at := strings.TrimSpace(fmt.Sprintf("%d:%d %s", f.Line, f.Column, f.Path))
			if !want[at] {
				t.Errorf("%s: unexpected fault: %s: %s", file, at, f.Want)
			}
			delete(want, at)
		}
		for at := range want {
			t.Errorf("%s: fault not reported: %s", file, at)
		}
	}
}

func TestParseReturnsPlan(t *testing.T) {
	f, faults := Parse("x", []byte(`
name: good
owner: team
defaults: &d {cores: 2, memory_gb: 8, bundle: "img-${{ step.name }}", jobclass: nightly}
steps:
  - {name: last, needs: [mid, first], when: always()}
  - name: mid
    needs: first
    matrix: {zone: [a, b], gpus: [1, 2]}
    accelerators: ${{ matrix.gpus }}
    site: ${{ matrix.zone }}
  - <<: *d
    name: first
    cores: 4
`))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	p := f.Plan
	if len(p.Steps) != 6 || p.Steps[0].Name != "first" || p.Steps[0].Spec.Cores != 4 || p.Steps[5].Name != "last" {
		t.Fatalf("unexpected steps: %+v", p.Steps)
	}
	s := p.Steps[4]
	if s.Name != "mid[gpus=2,zone=b]" || s.Spec.Accelerators != 2 || s.Spec.Zone != "b" ||
		s.Spec.Image != "img-mid" || s.Spec.Class != "nightly" || s.Spec.Team != "team" {
		t.Errorf("unexpected step: %+v", s)
	}
}

// nestedAliases returns a small file whose aliases expand to 10^8 values.
func nestedAliases() string {
	var out strings.Builder
	out.WriteString("a: &a [x,x,x,x,x,x,x,x,x,x]\n")
	for i := range 7 {
		aliases := strings.Repeat(fmt.Sprintf(",*%c", 'a'+i), 10)[1:]
		fmt.Fprintf(&out, "%c: &%c [%s]\n", 'b'+i, 'b'+i, aliases)
	}
	return out.String()
}

// TestTooLargeOrInvalidFilesAreRejected checks that files without a pipeline are rejected, and that
// files that are too large or too deeply nested are rejected before they take much memory.
func TestTooLargeOrInvalidFilesAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"too long":       strings.Repeat("#", tuning.MaxPipelineBytes+1),
		"nested aliases": nestedAliases(),
		"empty":          "",
		"two documents":  "a: 1\n---\nb: 2\n",
		"list":           "- a",
		"text":           "hello",
		"too deep":       strings.Repeat("[", 500) + strings.Repeat("]", 500),
	} {
		t.Run(name, func(t *testing.T) {
			f, faults := Parse(name, []byte(text))
			if f != nil || len(faults) == 0 || len(faults) > tuning.MaxFaults {
				t.Errorf("got a file or an unexpected number of faults: %d", len(faults))
			}
		})
	}
	t.Run("no such file", func(t *testing.T) {
		if _, faults := Load("testdata/none"); len(faults) != 1 {
			t.Error(faults)
		}
	})
}

// FuzzParse checks that no file causes a panic, and that a file without a plan has faults.
func FuzzParse(f *testing.F) {
	f.Add([]byte("name: a\nowner: b\nsteps:\n" +
		"  - {name: a, cores: 1, memory_gb: 1, bundle: x, when: always(), matrix: {a: [1]}}\n"))
	f.Add([]byte("a: &a\n  <<: *a\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if file, faults := Parse("x", b); file == nil && len(faults) == 0 {
			t.Error("Parse returned neither a file nor faults")
		}
	})
}
