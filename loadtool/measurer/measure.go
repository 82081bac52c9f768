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

// runnerCounts are the runners of each engine pool, as the design page states them.
var runnerCounts = map[string]int{"paws-assist": 18, "cordsage": 10}

// options are the flags of the command.
type options struct {
	folder    string
	names     []string
	scenarios []string
	policies  []string
	seed      uint64
}

// NewCommand returns the command that measures the policies.
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
	c.Flags().StringSliceVar(&o.names, "deployment", []string{"nile-paws", "guild"}, "documents to measure")
	c.Flags().StringSliceVar(&o.scenarios, "scenario", nil, "scenarios to run (default all)")
	c.Flags().StringSliceVar(&o.policies, "policy", nil, "policies to run (default all)")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	return c
}

func (o options) run(out io.Writer) error {
	for _, name := range o.names {
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

// contender is a policy under its name in the table.
type contender struct {
	name  string
	build func(*world, *gateway) policy
}

// Names of the contenders that the targets compare.
const (
	coordinatedName      = "sequoia"
	leastOutstandingName = "least-outstanding"
)

func contenders() []contender {
	return []contender{
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
	chosen := slices.DeleteFunc(contenders(), func(c contender) bool { return !wants(o.policies, c.name) })
	t := newTable(doc, chosen)
	var compared []target
	for _, s := range scenarios() {
		if !wants(o.scenarios, s.name) {
			continue
		}
		var results []*result
		byName := map[string]*result{}
		for _, c := range chosen {
			byName[c.name] = run(doc, pool, s, c, o.seed)
			results = append(results, byName[c.name])
		}
		t.add(s.name, results)
		if r, ok := byName[coordinatedName]; ok {
			compared = append(compared, targets(s.name, r, byName[leastOutstandingName])...)
		}
	}
	if err := t.print(out); err != nil {
		return eris.Wrap(err, "measure")
	}
	return printTargets(out, compared)
}

// wants says whether a name is in a list; an empty list has all names.
func wants(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func enginePool(doc *parser.Document) (parser.Pool, error) {
	for _, pool := range doc.Pools {
		if pool.Kind == parser.PoolEngine && runnerCounts[pool.Name] > 0 {
			return pool, nil
		}
	}
	return parser.Pool{}, eris.New(fmt.Sprintf("measure: %s has no engine pool with a known size", doc.Environment.Name))
}

// run plays one scenario with one policy.
func run(doc *parser.Document, pool parser.Pool, s scenario, c contender, seed uint64) *result {
	w := newWorld(doc, pool, runnerCounts[pool.Name], seed, c.build)
	w.result = newResult(w, s.steady)
	w.load = &load{
		world:    w,
		mix:      s.mix(doc),
		redirect: func(_ time.Duration, zone int) int { return zone },
		chats:    map[[2]int][]*conversation{},
		reads:    map[int][]uint64{},
	}
	w.load.rate = func(now time.Duration, zone, rank int) float64 {
		return s.demand(w, now, zone, rank) * w.perSecond(zone, rank)
	}
	if s.faults != nil {
		s.faults(w)
	}
	for zone := range w.zones {
		for rank := range s.most {
			w.load.start(zone, rank, s.most[rank]*w.perSecond(zone, rank))
		}
	}
	w.play(s.end)
	return w.result
}

// perSecond is the mean requests of a rank that the runners of an availability zone can do in a second.
func (w *world) perSecond(zone, rank int) float64 {
	return float64(len(w.zones[zone].runners)) / meanWork(rank, w.pool.BatchLimit).Seconds()
}
