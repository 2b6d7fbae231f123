package settings

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/harrierreel/harrierreel/internal/fleet"
)

// listIndex matches a list index in the path of a field.
var listIndex = regexp.MustCompile(`\[\d+\]`)

// faultList collects the faults of a file, each with the path of its field.
type faultList struct {
	errs []error
	// malformed lists the fields that could not be decoded, by path or, if the decoder did not
	// report that, by name. No other faults are reported for them: their values are zero.
	malformed []string
}

// require adds a fault of a field, given by its path, unless ok.
func (f *faultList) require(ok bool, field, fault string) {
	if ok || slices.Contains(f.malformed, listIndex.ReplaceAllString(field, "")) {
		return
	}
	name := field[strings.LastIndexByte(field, '.')+1:]
	if !slices.Contains(f.malformed, name) {
		f.errs = append(f.errs, fmt.Errorf("%s: %s", field, fault))
	}
}

func (f *faultList) requirePositive(field string, v float64) {
	f.require(v > 0, field, "must be above 0")
}

func (f *faultList) requireNodeName(field, name string) {
	f.require(name != "", field, "is missing")
	f.require(
		name == "" || fleet.ValidName(name),
		field,
		"is no name that can be part of a key: at most 150 bytes, no spaces",
	)
}

// requireAddress adds a fault of a field unless its value is an IPv4 address with a port.
func (f *faultList) requireAddress(field, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		f.require(false, field, fmt.Sprintf("%q is not address:port", address))
		return
	}
	ip := net.ParseIP(host)
	f.require(ip != nil && ip.To4() != nil, field, fmt.Sprintf("%q is not an IPv4 address", host))
	number, err := strconv.Atoi(port)
	f.require(err == nil && number > 0 && number < 65536, field, fmt.Sprintf("%q is not a port", port))
}
