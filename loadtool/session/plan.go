package session

import (
	"slices"
	"time"

	"sequoiaspread.example/sequoia/parser"
)

// Plan says what a session sends and for how long.
type Plan struct {
	Duration time.Duration
	// Rates are requests a second.
	UrgentRate  float64
	PatientRate float64
	BookingRate float64
	CheckRate   float64
	Seed        uint64
}

// DefaultPlan returns a load that the fleets of today carry with room to spare.
func DefaultPlan() Plan {
	return Plan{Duration: 22 * time.Second, UrgentRate: 25, PatientRate: 3, BookingRate: 12, CheckRate: 12, Seed: 1}
}

const (
	urgentWords   = 60
	urgentTokens  = 30
	patientWords  = 3000
	patientTokens = 120
)

// operation is a declared operation of a plain service.
type operation struct {
	service  string
	declared parser.Operation
}

// workload is what can be sent to the deployment of a document.
type workload struct {
	document *parser.Document
	model    string
	service  string
	urgent   string
	patient  string
	once     []operation
	repeat   []operation
}

func newWorkload(document *parser.Document) workload {
	w := workload{
		document: document,
		urgent:   document.Ranks[0].Name,
		patient:  document.Ranks[len(document.Ranks)-1].Name,
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
	for _, each := range service.Operations {
		found := operation{service: service.Name, declared: each}
		if each.Idempotent {
			w.repeat = append(w.repeat, found)
			continue
		}
		w.once = append(w.once, found)
	}
}

// zonesFor returns the availability zones to which the residency rules bind calls of an organisation.
func (w *workload) zonesFor(organisation, service string) []string {
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

func matches(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}
