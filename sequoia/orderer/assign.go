package orderer

import (
	"slices"
	"sort"
	"strings"
)

// DesiredReplicas is the number of upstreams of an availability zone that should have a model loaded.
type DesiredReplicas struct {
	Model string
	Zone  string
	Count int
}

// Upstream is an upstream that accepts orders, with the models that its pool allows and those that it has loaded.
type Upstream struct {
	Name               string
	Incarnation        uint64
	Zone               string
	AllowedModels      []string
	LoadedModels       []string
	ChecksFencingToken bool
}

// Assign chooses the upstreams that should have each model loaded. It prefers those that already have it, so that a
// repeated call with the same input returns the same plan and causes no orders.
func Assign(desired []DesiredReplicas, upstreams []Upstream) Plan {
	var loads, unloads []Assignment
	for _, d := range desired {
		candidates := candidatesFor(d, upstreams)
		for i, upstream := range candidates {
			target := Target{Upstream: upstream.Name, Incarnation: upstream.Incarnation, Model: d.Model}
			assignment := Assignment{Target: target, State: ModelLoaded, ChecksFencingToken: upstream.ChecksFencingToken}
			if i < d.Count {
				loads = append(loads, assignment)
				continue
			}
			assignment.State = ModelUnloaded
			unloads = append(unloads, assignment)
		}
	}
	return Plan{Assignments: append(loads, unloads...)}
}

func candidatesFor(desired DesiredReplicas, upstreams []Upstream) []Upstream {
	var candidates []Upstream
	for _, upstream := range upstreams {
		if upstream.Zone == desired.Zone && slices.Contains(upstream.AllowedModels, desired.Model) {
			candidates = append(candidates, upstream)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].preferredOver(candidates[j], desired.Model) })
	return candidates
}

// preferredOver prefers upstreams that have the model loaded, then those with the fewest loaded models, then by name.
func (u Upstream) preferredOver(other Upstream, model string) bool {
	has := slices.Contains(u.LoadedModels, model)
	if otherHas := slices.Contains(other.LoadedModels, model); has != otherHas {
		return has
	}
	if len(u.LoadedModels) != len(other.LoadedModels) && !has {
		return len(u.LoadedModels) < len(other.LoadedModels)
	}
	return strings.Compare(u.Name, other.Name) < 0
}
