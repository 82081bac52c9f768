package measurer

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"sequoiaspread.example/sequoia/parser"
)

// runnerCounts holds the number of runners of each engine pool, as specified in the design document.
var runnerCounts = map[string]int{"paws-assist": 18, "cordsage": 10}

// options holds the flags of the command.
type options struct {
	folder      string
	deployments []string
	scenarios   []string
	policies    []string
	seed        uint64
}

// NewCommand returns the command that compares the policies in a simulation.
func NewCommand() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:           "measure",
		Short:         "Measure routing, admission and limits against baselines in virtual time",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.run(c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&o.folder, "deployments", "deployments", "folder of the environment documents")
	c.Flags().StringSliceVar(&o.deployments, "deployment", []string{"nile-paws", "guild"}, "documents to measure")
	c.Flags().StringSliceVar(&o.scenarios, "scenario", nil, "scenarios to run (default all)")
	c.Flags().StringSliceVar(&o.policies, "policy", nil, "policies to run (default all)")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	return c
}

func (o options) run(out io.Writer) error {
	for _, name := range o.deployments {
		doc, err := parser.ParseFile(filepath.Join(o.folder, name+".toml"))
		if err != nil {
			return eris.Wrap(err, "measure")
		}
		if err := o.measure(out, doc); err != nil {
			return err
		}
	}
	return nil
}

// candidate is a policy with the name under which the table lists it.
type candidate struct {
	name      string
	newPolicy func(*simulation, *gateway) policy
}

// Names of the candidates that the targets compare.
const (
	coordinatedName      = "sequoia"
	leastOutstandingName = "least-outstanding"
)

func candidates() []candidate {
	return []candidate{
		{coordinatedName, newCoordinated},
		{"round-robin", newBaseline(roundRobin)},
		{leastOutstandingName, newBaseline(leastOutstanding)},
	}
}

func (o options) measure(out io.Writer, doc *parser.Document) error {
	pool, err := enginePool(doc)
	if err != nil {
		return err
	}
	selected := slices.DeleteFunc(candidates(), func(candidate candidate) bool { return !isSelected(o.policies, candidate.name) })
	report := newTable(doc, selected)
	var evaluated []target
	for _, s := range scenarios() {
		if !isSelected(o.scenarios, s.name) {
			continue
		}
		var results []*result
		byName := map[string]*result{}
		for _, candidate := range selected {
			byName[candidate.name] = runScenario(doc, pool, s, candidate, o.seed)
			results = append(results, byName[candidate.name])
		}
		report.add(s.name, results)
		if r, ok := byName[coordinatedName]; ok {
			evaluated = append(evaluated, targets(s.name, r, byName[leastOutstandingName])...)
		}
	}
	if err := report.print(out); err != nil {
		return eris.Wrap(err, "measure")
	}
	return printTargets(out, evaluated)
}

// isSelected reports whether a list contains a name; an empty list selects all names.
func isSelected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func enginePool(doc *parser.Document) (parser.Pool, error) {
	for _, pool := range doc.Pools {
		if pool.Kind == parser.PoolEngine && runnerCounts[pool.Name] > 0 {
			return pool, nil
		}
	}
	return parser.Pool{}, eris.New(fmt.Sprintf("measure: environment %s has no engine pool with a known number of runners", doc.Environment.Name))
}

// runScenario simulates one scenario with one policy.
func runScenario(doc *parser.Document, pool parser.Pool, spec scenario, candidate candidate, seed uint64) *result {
	sim := newSimulation(doc, pool, runnerCounts[pool.Name], seed, candidate.newPolicy)
	sim.result = newResult(sim, spec.windows)
	sim.load = &load{
		sim:                sim,
		organisationShares: spec.organisationShares(doc),
		entryZone:          func(_ time.Duration, zone int) int { return zone },
		chats:              map[[2]int][]*conversation{},
		recentReads:        map[int][]uint64{},
	}
	sim.load.rate = func(now time.Duration, zone, rank int) float64 {
		return spec.demand(sim, now, zone, rank) * sim.capacityPerSecond(zone, rank)
	}
	if spec.scheduleFaults != nil {
		spec.scheduleFaults(sim)
	}
	for zone := range sim.zones {
		for rank := range spec.maxDemand {
			sim.load.start(zone, rank, spec.maxDemand[rank]*sim.capacityPerSecond(zone, rank))
		}
	}
	sim.runUntil(spec.end)
	return sim.result
}

// capacityPerSecond returns how many mean requests of a rank the runners of a zone can complete per second.
func (sim *simulation) capacityPerSecond(zone, rank int) float64 {
	return float64(len(sim.zones[zone].runners)) / meanEngineTime(rank, sim.pool.BatchLimit).Seconds()
}
