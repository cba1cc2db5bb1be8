package integration

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/zinniaroute/zinniaroute/standin/proxy"
)

// partitionGateways injects faults into the links between some gateways and all runners, in place of other faults of these
// links.
func (d *deployment) partitionGateways(faults proxy.Faults, gateways ...string) {
	faults.Only = gateways
	for _, link := range d.runnerLinks {
		link.Set(faults)
	}
}

// processAt returns the name of the process that has opened the connection between two addresses, or "" if none has.
func (s *system) processAt(local, remote netip.AddrPort) string {
	socket, found := socketOf(local, remote), ""
	s.processIDs.Range(func(name, id any) bool {
		if holdsSocket(id.(int), socket) {
			found = name.(string)
		}
		return found == ""
	})
	return found
}

// establishedState is the state of an open connection in the kernel's table of TCP sockets.
const establishedState = "01"

// socketOf returns the name under which a process lists the open IPv4 connection between two addresses among its files.
func socketOf(local, remote netip.AddrPort) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] != establishedState {
			continue
		}
		if portOf(fields[1]) == local.Port() && portOf(fields[2]) == remote.Port() {
			return "socket:[" + fields[9] + "]"
		}
	}
	return ""
}

// portOf returns the port of an address in the kernel's table, or zero.
func portOf(address string) uint16 {
	_, text, _ := strings.Cut(address, ":")
	port, err := strconv.ParseUint(text, 16, 16)
	if err != nil {
		return 0
	}
	return uint16(port)
}

func holdsSocket(pid int, socket string) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, file := range files {
		if target, err := os.Readlink(file); err == nil && target == socket {
			return true
		}
	}
	return false
}
