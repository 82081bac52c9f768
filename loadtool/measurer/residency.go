package measurer

import (
	"slices"

	"sequoiaspread.example/sequoia/parser"
)

// allows reports whether the residency rules let requests of an organisation run in an availability zone.
func (sim *simulation) allows(organisation, zone int) bool {
	name := sim.doc.Organisations[organisation].Name
	for _, rule := range sim.doc.ResidencyRules {
		if sim.ruleApplies(rule, name) && !sim.ruleAllowsZone(rule, zone) {
			return false
		}
	}
	return true
}

func (sim *simulation) ruleApplies(rule parser.ResidencyRule, organisation string) bool {
	if len(rule.Organisations) > 0 && !slices.Contains(rule.Organisations, organisation) {
		return false
	}
	if len(rule.Services) == 0 {
		return true
	}
	return slices.ContainsFunc(rule.Services, func(name string) bool {
		s, ok := sim.doc.Service(name)
		return ok && s.Pool == sim.pool.Name
	})
}

func (sim *simulation) ruleAllowsZone(rule parser.ResidencyRule, zone int) bool {
	z := sim.zones[zone]
	return slices.Contains(rule.Regions, z.region) || slices.Contains(rule.Zones, z.name)
}
