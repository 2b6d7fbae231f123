package cli

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// operatorFile is what verbs read of an operators' file.
type operatorFile struct {
	Quotas   *quota.Document    `hcl:"quotas,block"`
	Calendar *calendar.Document `hcl:"calendar,block"`
	Rest     hcl.Body           `hcl:",remain"`
}

// operatorFile reads an operators' file and prints every fault of form with its place.
func (a *app) operatorFile(name string) (content operatorFile, err error) {
	file, diagnostics := hclparse.NewParser().ParseHCLFile(name)
	if file != nil {
		diagnostics = append(diagnostics, gohcl.DecodeBody(file.Body, nil, &content)...)
	}
	for _, d := range diagnostics {
		a.notef("%s\n", d.Error())
	}
	if diagnostics.HasErrors() {
		err = &Exit{Code: ExitUsage}
	}
	return content, err
}

// quotaFile reads the quotas block of an operators' file.
func (a *app) quotaFile(name string) (*quota.Document, error) {
	content, err := a.operatorFile(name)
	if err == nil && content.Quotas == nil {
		err = usage("%s: has no quotas block", name)
	}
	return content.Quotas, err
}

// calendarFile reads the calendar block of an operators' file.
func (a *app) calendarFile(name string) (*calendar.Document, error) {
	content, err := a.operatorFile(name)
	if err == nil && content.Calendar == nil {
		err = usage("%s: has no calendar block", name)
	}
	return content.Calendar, err
}
