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
	// ticksPerSecond is USER_HZ, the unit of CPU time in /proc on Linux.
	ticksPerSecond = 100
	// The indexes of utime and stime in /proc/PID/stat, counted after the
	// command name.
	userTimeField   = 11
	systemTimeField = 12
	// runDelayField is the index of the time spent waiting on a run queue in
	// /proc/PID/task/TID/schedstat.
	runDelayField = 1
)

// readCPUTime returns the user and system CPU time of a process.
func readCPUTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "CPU time of the entry host")
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	if len(fields) <= systemTimeField {
		return 0, errors.Newf("CPU time of the entry host: %d fields after the command name in /proc/%d/stat", len(fields), pid)
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

// readRunDelay returns the total time that the threads of a process were
// runnable but waited for a processor. Threads that have exited are not counted.
func readRunDelay(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "run delay of the entry host")
	}
	total := time.Duration(0)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has exited
		}
		fields := strings.Fields(string(raw))
		if len(fields) <= runDelayField {
			return 0, errors.Newf("run delay of the entry host: %d fields in %s", len(fields), file)
		}
		nanos, err := strconv.ParseInt(fields[runDelayField], 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "run delay of the entry host")
		}
		total += time.Duration(nanos)
	}
	return total, nil
}

// readResidentBytes returns the resident set size of a process.
func readResidentBytes(pid int) (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "resident memory of the entry host")
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, errors.Newf("resident memory of the entry host: %d fields in /proc/%d/statm", len(fields), pid)
	}
	pages, err := strconv.Atoi(fields[1])
	return pages * os.Getpagesize(), errors.Wrap(err, "resident memory of the entry host")
}

const (
	maxIdleConnections = 20_000
	// idleSettleTime lets the process accept the connections before its memory
	// is read.
	idleSettleTime = time.Second
)

// IdleMemory opens idle connections to address. It returns the growth of the
// resident memory of process pid in bytes per connection.
func IdleMemory(address string, pid, connections int) (float64, error) {
	if connections < 1 || connections > maxIdleConnections {
		return 0, errors.Newf("connections: %d is not between 1 and %d", connections, maxIdleConnections)
	}
	if err := checkLoopback("http://" + address); err != nil {
		return 0, err
	}
	before, err := readResidentBytes(pid)
	if err != nil {
		return 0, err
	}
	for range connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return 0, errors.Wrap(err, "open idle connection")
		}
		defer func() { _ = conn.Close() }()
	}
	time.Sleep(idleSettleTime)
	after, err := readResidentBytes(pid)
	return float64(after-before) / float64(connections), err
}
