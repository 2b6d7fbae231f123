package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// hasSocket reports whether a process that this one started has the TCP socket with a local and a remote
// port, on loopback addresses.
func hasSocket(pid, local, remote int) bool {
	inode := inodeOf(local, remote)
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

// inodeOf returns the inode of the TCP socket with a local and a remote port, "" if there is none.
func inodeOf(local, remote int) string {
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) >= 10 && portOf(fields[1]) == local && portOf(fields[2]) == remote && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}

// portOf returns the port of an address as in the kernel's table of connections, -1 if there is none.
func portOf(address string) int {
	_, digits, _ := strings.Cut(address, ":")
	port, err := strconv.ParseInt(digits, 16, 32)
	if err != nil {
		return -1
	}
	return int(port)
}
