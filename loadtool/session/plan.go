package session

import (
	"slices"
	"time"

	"sequoiaspread.example/sequoia/parser"
)

// Plan defines the load of a session and its duration.
type Plan struct {
	Duration time.Duration
	// Rates are in requests per second.
	UrgentRate  float64
	BatchRate   float64
	BookingRate float64
	LookupRate  float64
	Seed        uint64
}

// DefaultPlan returns a load well below the capacity of the shipped deployments.
func DefaultPlan() Plan {
	return Plan{Duration: 22 * time.Second, UrgentRate: 25, BatchRate: 3, BookingRate: 12, LookupRate: 12, Seed: 1}
}

// Prompt lengths in words and response lengths in tokens of chat requests of the urgent and the batch rank.
const (
	urgentWords  = 60
	urgentTokens = 30
	batchWords   = 3000
	batchTokens  = 120
)

// operation is a declared operation of a plain service.
type operation struct {
	service     string
	declaration parser.Operation
}

// workload holds the requests that the deployment of a document accepts.
type workload struct {
	document   *parser.Document
	model      string
	service    string
	urgentRank string
	batchRank  string
	bookings   []operation
	lookups    []operation
}

func newWorkload(document *parser.Document) workload {
	w := workload{
		document:   document,
		urgentRank: document.Ranks[0].Name,
		batchRank:  document.Ranks[len(document.Ranks)-1].Name,
	}
	for _, service := range document.Services {
		pool, _ := document.Pool(service.Pool)
		if pool.Kind == parser.PoolEngine {
			w.model, w.service = pool.Models[0], service.Name
			continue
		}
		w.addOperations(service)
	}
	return w
}

func (w *workload) addOperations(service parser.Service) {
	for _, declaration := range service.Operations {
		op := operation{service: service.Name, declaration: declaration}
		if declaration.Idempotent {
			w.lookups = append(w.lookups, op)
			continue
		}
		w.bookings = append(w.bookings, op)
	}
}

// allowedZones returns the availability zones in which the residency rules let calls of an organisation run.
func (w *workload) allowedZones(organisation, service string) []string {
	zones := w.document.Zones()
	for _, rule := range w.document.ResidencyRules {
		if !matches(rule.Organisations, organisation) || !matches(rule.Services, service) {
			continue
		}
		zones = slices.DeleteFunc(zones, func(zone string) bool {
			return !slices.Contains(rule.Zones, zone) && !slices.Contains(rule.Regions, w.document.RegionOf(zone))
		})
	}
	return zones
}

// matches reports whether a list of a residency rule contains a name; an empty list matches all names.
func matches(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}
