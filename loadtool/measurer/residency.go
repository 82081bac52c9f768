package measurer

import (
	"slices"

	"sequoiaspread.example/sequoia/parser"
)

// allows says whether the rules let the requests of an organisation into an availability zone.
func (w *world) allows(organisation, zone int) bool {
	name := w.doc.Organisations[organisation].Name
	for _, rule := range w.doc.ResidencyRules {
		if w.applies(rule, name) && !w.inside(rule, zone) {
			return false
		}
	}
	return true
}

func (w *world) applies(rule parser.ResidencyRule, organisation string) bool {
	if len(rule.Organisations) > 0 && !slices.Contains(rule.Organisations, organisation) {
		return false
	}
	if len(rule.Services) == 0 {
		return true
	}
	return slices.ContainsFunc(rule.Services, func(name string) bool {
		s, ok := w.doc.Service(name)
		return ok && s.Pool == w.pool.Name
	})
}

func (w *world) inside(rule parser.ResidencyRule, zone int) bool {
	z := w.zones[zone]
	return slices.Contains(rule.Regions, z.region) || slices.Contains(rule.Zones, z.name)
}
