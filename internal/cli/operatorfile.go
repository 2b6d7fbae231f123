package cli

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// operatorFile holds the blocks of an operator settings file that the commands use.
type operatorFile struct {
	Quotas   *quota.Document    `hcl:"quotas,block"`
	Calendar *calendar.Document `hcl:"calendar,block"`
	Rest     hcl.Body           `hcl:",remain"`
}

// loadOperatorFile reads an operator settings file and prints every syntax or schema error with its
// position.
func (a *app) loadOperatorFile(name string) (content operatorFile, err error) {
	file, diagnostics := hclparse.NewParser().ParseHCLFile(name)
	if file != nil {
		diagnostics = append(diagnostics, gohcl.DecodeBody(file.Body, nil, &content)...)
	}
	for _, d := range diagnostics {
		a.printErrf("%s\n", d.Error())
	}
	if diagnostics.HasErrors() {
		err = &ExitError{Code: ExitUsage}
	}
	return content, err
}

// loadQuotas reads the quotas block of an operator settings file.
func (a *app) loadQuotas(name string) (*quota.Document, error) {
	content, err := a.loadOperatorFile(name)
	if err == nil && content.Quotas == nil {
		err = usageError("%s: has no quotas block", name)
	}
	return content.Quotas, err
}

// loadCalendar reads the calendar block of an operator settings file.
func (a *app) loadCalendar(name string) (*calendar.Document, error) {
	content, err := a.loadOperatorFile(name)
	if err == nil && content.Calendar == nil {
		err = usageError("%s: has no calendar block", name)
	}
	return content.Calendar, err
}
