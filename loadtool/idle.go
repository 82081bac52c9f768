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
	// idleTime is how long the fleet is watched without load.
	idleTime = 4 * time.Second
	// cpuBound, memoryBound and trafficBound are the stated limits of control overhead for a node.
	cpuBound     = 3.5 // percent of a core
	memoryBound  = 64  // MB
	trafficBound = 5   // KB/s
	percent      = 100
	megabyte     = 1e6
	kilobyte     = 1e3
)

// cost is the mean or highest use of the processes of a program.
type cost struct {
	cpu, memory, traffic float64
}

// printIdle prints what gateways and controllers use without load.
func printIdle(ctx context.Context, out io.Writer, fleet *harness.Fleet) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "idle, %s\tCPU mean\thighest\tmemory mean\thighest\tread+written mean\thighest\t\n", idleTime)
	programs := []harness.Program{harness.ProgramGateway, harness.ProgramController}
	before := map[*harness.Process]harness.Usage{}
	for _, program := range programs {
		if err := readUsage(fleet.Processes(program), before); err != nil {
			return err
		}
	}
	pause(ctx, idleTime)
	for _, program := range programs {
		mean, highest, err := costOf(fleet.Processes(program), before)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%s\t%.1f%%\t%.1f%%\t%.0f MB\t%.0f MB\t%.1f KB/s\t%.1f KB/s\t\n",
			program, mean.cpu, highest.cpu, mean.memory, highest.memory, mean.traffic, highest.traffic)
	}
	fmt.Fprintf(table, "stated limit\t\t%.1f%%\t\t%d MB\t\t%d KB/s\t\n", cpuBound, memoryBound, trafficBound)
	return table.Flush()
}

func readUsage(processes []*harness.Process, into map[*harness.Process]harness.Usage) error {
	for _, process := range processes {
		usage, err := process.Usage()
		if err != nil {
			return err
		}
		into[process] = usage
	}
	return nil
}

func costOf(processes []*harness.Process, before map[*harness.Process]harness.Usage) (mean, highest cost, err error) {
	after := map[*harness.Process]harness.Usage{}
	if err := readUsage(processes, after); err != nil {
		return mean, highest, err
	}
	for _, process := range processes {
		each := difference(before[process], after[process])
		mean.cpu += each.cpu / float64(len(processes))
		mean.memory += each.memory / float64(len(processes))
		mean.traffic += each.traffic / float64(len(processes))
		highest.cpu = max(highest.cpu, each.cpu)
		highest.memory = max(highest.memory, each.memory)
		highest.traffic = max(highest.traffic, each.traffic)
	}
	return mean, highest, nil
}

func difference(before, after harness.Usage) cost {
	return cost{
		cpu:     percent * (after.CPU - before.CPU).Seconds() / idleTime.Seconds(),
		memory:  float64(after.MemoryBytes) / megabyte,
		traffic: float64(after.TransferredBytes-before.TransferredBytes) / idleTime.Seconds() / kilobyte,
	}
}
