package harness

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of CPU time in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// statUserTimeField is the index of the user time among the fields after the process name in /proc/<pid>/stat.
	statUserTimeField = 11
	kibibyte          = 1024
)

// Usage holds the resources that a process has used since its start.
type Usage struct {
	CPU         time.Duration
	MemoryBytes int64
	// TransferredBytes counts the bytes read and written by system calls. It includes files and logs, so it is an upper
	// bound of the network traffic.
	TransferredBytes int64
}

// Usage reads the resource usage of the running process.
func (p *Process) Usage() (Usage, error) {
	folder := fmt.Sprintf("/proc/%d/", p.ID())
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return Usage{}, wrapError("read usage", KindProcess, err)
	}
	var usage Usage
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) > statUserTimeField+1 {
		usage.CPU = time.Duration(parseNumber(fields[statUserTimeField])+parseNumber(fields[statUserTimeField+1])) * clockTick
	}
	status, err := readProcTable(folder + "status")
	if err != nil {
		return usage, err
	}
	usage.MemoryBytes = status["VmRSS"] * kibibyte
	transferred, err := readProcTable(folder + "io")
	usage.TransferredBytes = transferred["rchar"] + transferred["wchar"]
	return usage, err
}

// readProcTable reads a file with lines of the form "name: number unit".
func readProcTable(path string) (map[string]int64, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, wrapError("read usage", KindProcess, err)
	}
	defer file.Close()
	table := map[string]int64{}
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		name, value, _ := strings.Cut(scanner.Text(), ":")
		if fields := strings.Fields(value); len(fields) > 0 {
			table[name] = parseNumber(fields[0])
		}
	}
	return table, nil
}

func parseNumber(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}
