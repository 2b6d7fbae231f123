package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// hasSocket reports whether a process that this one started has the TCP socket with a local port on a
// loopback address.
func hasSocket(pid, port int) bool {
	inode := inodeOf(port)
	if inode == "" {
		return false
	}
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// inodeOf returns the inode of the TCP socket with a local port on a loopback address, "" if there is
// none.
func inodeOf(port int) string {
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 {
			continue
		}
		_, digits, _ := strings.Cut(fields[1], ":")
		local, err := strconv.ParseInt(digits, 16, 32)
		// The other end of the same connection has the port as its remote one.
		if err == nil && int(local) == port && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}
