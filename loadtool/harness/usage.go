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
	// clockTick is the unit of CPU time in the process table of Linux.
	clockTick = 10 * time.Millisecond
	// statFieldsBefore is the number of fields between the name of the process and its user time.
	statFieldsBefore = 11
	kibibyte         = 1024
)

// Usage is what a process has used so far.
type Usage struct {
	CPU         time.Duration
	MemoryBytes int64
	// TransferredBytes were read and written by system calls, files and logs included, so at least the network's bytes.
	TransferredBytes int64
}

// Usage reads what the running process has used.
func (p *Process) Usage() (Usage, error) {
	folder := fmt.Sprintf("/proc/%d/", p.ID())
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return Usage{}, wrapError("read usage", KindProcess, err)
	}
	var usage Usage
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) > statFieldsBefore+1 {
		usage.CPU = time.Duration(number(fields[statFieldsBefore])+number(fields[statFieldsBefore+1])) * clockTick
	}
	status, err := readTable(folder + "status")
	if err != nil {
		return usage, err
	}
	usage.MemoryBytes = status["VmRSS"] * kibibyte
	transferred, err := readTable(folder + "io")
	usage.TransferredBytes = transferred["rchar"] + transferred["wchar"]
	return usage, err
}

// readTable reads lines of the form "name: number unit".
func readTable(path string) (map[string]int64, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, wrapError("read usage", KindProcess, err)
	}
	defer file.Close()
	table := map[string]int64{}
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		name, value, _ := strings.Cut(scanner.Text(), ":")
		if fields := strings.Fields(value); len(fields) > 0 {
			table[name] = number(fields[0])
		}
	}
	return table, nil
}

func number(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}
