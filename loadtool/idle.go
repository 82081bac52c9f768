package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"sequoiaspread.example/loadtool/harness"
)

const (
	// idleDuration is how long the fleet is measured without load.
	idleDuration = 4 * time.Second
	// cpuLimit, memoryLimit and trafficLimit are the specified limits of control overhead for one node.
	cpuLimit     = 3.5 // percent of a core
	memoryLimit  = 64  // MB
	trafficLimit = 5   // KB/s
	percent      = 100
	megabyte     = 1e6
	kilobyte     = 1e3
)

// resourceUsage is the mean or highest usage of the processes of a program, in percent of a core, MB and KB/s.
type resourceUsage struct {
	cpu, memory, traffic float64
}

// printIdle prints the resource usage of gateways and controllers without load.
func printIdle(ctx context.Context, out io.Writer, fleet *harness.Fleet) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "idle, %s\tCPU mean\thighest\tmemory mean\thighest\tread+written mean\thighest\t\n", idleDuration)
	programs := []harness.Program{harness.ProgramGateway, harness.ProgramController}
	before := map[*harness.Process]harness.Usage{}
	for _, program := range programs {
		if err := readUsage(fleet.Processes(program), before); err != nil {
			return err
		}
	}
	sleep(ctx, idleDuration)
	for _, program := range programs {
		mean, highest, err := usageSince(fleet.Processes(program), before)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%s\t%.1f%%\t%.1f%%\t%.0f MB\t%.0f MB\t%.1f KB/s\t%.1f KB/s\t\n",
			program, mean.cpu, highest.cpu, mean.memory, highest.memory, mean.traffic, highest.traffic)
	}
	fmt.Fprintf(table, "stated limit\t\t%.1f%%\t\t%d MB\t\t%d KB/s\t\n", cpuLimit, memoryLimit, trafficLimit)
	return table.Flush()
}

func readUsage(processes []*harness.Process, usages map[*harness.Process]harness.Usage) error {
	for _, process := range processes {
		usage, err := process.Usage()
		if err != nil {
			return err
		}
		usages[process] = usage
	}
	return nil
}

func usageSince(processes []*harness.Process, before map[*harness.Process]harness.Usage) (mean, highest resourceUsage, err error) {
	after := map[*harness.Process]harness.Usage{}
	if err := readUsage(processes, after); err != nil {
		return mean, highest, err
	}
	for _, process := range processes {
		usage := usageBetween(before[process], after[process])
		mean.cpu += usage.cpu / float64(len(processes))
		mean.memory += usage.memory / float64(len(processes))
		mean.traffic += usage.traffic / float64(len(processes))
		highest.cpu = max(highest.cpu, usage.cpu)
		highest.memory = max(highest.memory, usage.memory)
		highest.traffic = max(highest.traffic, usage.traffic)
	}
	return mean, highest, nil
}

func usageBetween(before, after harness.Usage) resourceUsage {
	return resourceUsage{
		cpu:     percent * (after.CPU - before.CPU).Seconds() / idleDuration.Seconds(),
		memory:  float64(after.MemoryBytes) / megabyte,
		traffic: float64(after.TransferredBytes-before.TransferredBytes) / idleDuration.Seconds() / kilobyte,
	}
}
