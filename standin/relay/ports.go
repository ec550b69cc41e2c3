package relay

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Columns of /proc/net/tcp, and the state of a connection.
const (
	localColumn, stateColumn, inodeColumn = 1, 3, 9
	stateEstablished                      = "01"
)

// ConnectedPorts returns the local ports of the TCP connections over IPv4 of the processes with
// the given ids. It leaves out processes that have ended. An error means that the connections
// cannot be read.
func ConnectedPorts(pids []int) (map[int]bool, error) {
	sockets := map[string]bool{}
	for _, pid := range pids {
		addSockets(pid, sockets)
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil, err
	}
	ports := map[int]bool{}
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) <= inodeColumn || columns[stateColumn] != stateEstablished || !sockets[columns[inodeColumn]] {
			continue
		}
		_, hex, _ := strings.Cut(columns[localColumn], ":")
		port, err := strconv.ParseUint(hex, 16, 16)
		if err != nil {
			return nil, fmt.Errorf("local port of %q: %w", line, err)
		}
		ports[int(port)] = true
	}
	return ports, nil
}

// addSockets adds the inodes of the sockets of a process.
func addSockets(pid int, sockets map[string]bool) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return // The process has ended.
	}
	for _, file := range files {
		link, err := os.Readlink(filepath.Join(dir, file.Name()))
		if inode, ok := strings.CutPrefix(link, "socket:["); err == nil && ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
}
