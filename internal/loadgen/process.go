package loadgen

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// ticksPerSecond is the unit of CPU time in /proc on Linux.
	ticksPerSecond = 100
	// The fields of user and system time in /proc/PID/stat, behind the name.
	userTimeField   = 11
	systemTimeField = 12
	// runDelayField is the time on a run queue in /proc/PID/task/TID/schedstat.
	runDelayField = 1
)

// cpuTime returns the CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "CPU time of the entry host")
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	if len(fields) <= systemTimeField {
		return 0, errors.New("CPU time of the entry host: short line")
	}
	ticks := 0
	for _, field := range []int{userTimeField, systemTimeField} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			return 0, errors.Wrap(err, "CPU time of the entry host")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// runDelay returns how long the threads of a process have waited for a
// processor while they could run. Threads that ended are not counted.
func runDelay(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "waits of the entry host")
	}
	total := time.Duration(0)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		fields := strings.Fields(string(raw))
		if len(fields) <= runDelayField {
			return 0, errors.New("waits of the entry host: short line")
		}
		nanos, err := strconv.ParseInt(fields[runDelayField], 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "waits of the entry host")
		}
		total += time.Duration(nanos)
	}
	return total, nil
}

// residentBytes returns the resident memory of a process, in bytes.
func residentBytes(pid int) (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "memory of the entry host")
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, errors.New("memory of the entry host: short line")
	}
	pages, err := strconv.Atoi(fields[1])
	return pages * os.Getpagesize(), errors.Wrap(err, "memory of the entry host")
}

const (
	maxIdleConnections = 20_000
	idleSettle         = time.Second
)

// IdleMemory opens connections to address and sends nothing. It returns the
// growth of the process's resident memory in bytes for each connection.
func IdleMemory(address string, pid, connections int) (float64, error) {
	if connections < 1 || connections > maxIdleConnections {
		return 0, errors.Newf("connections: outside 1 to %d", maxIdleConnections)
	}
	if err := checkLoopback("http://" + address); err != nil {
		return 0, err
	}
	before, err := residentBytes(pid)
	if err != nil {
		return 0, err
	}
	for range connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return 0, errors.Wrap(err, "idle connection")
		}
		defer func() { _ = conn.Close() }()
	}
	time.Sleep(idleSettle)
	after, err := residentBytes(pid)
	return float64(after-before) / float64(connections), err
}
