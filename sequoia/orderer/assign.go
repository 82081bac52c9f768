package orderer

import (
	"slices"
	"sort"
	"strings"
)

// Need says how many upstreams of an availability zone should have a model loaded.
type DesiredReplicas struct {
	Model string
	Zone  string
	Count int
}

// Upstream is one upstream that can take orders, with the models that it has loaded and those that its pool allows.
type Upstream struct {
	Name               string
	Incarnation        uint64
	Zone               string
	AllowedModels      []string
	LoadedModels       []string
	ChecksFencingToken bool
}

// Assign chooses the upstreams that should have each model loaded. Those that have it keep it first, so that a plan made
// twice from the same input is the same and needs no order.
func Assign(needs []DesiredReplicas, upstreams []Upstream) Plan {
	var loads, unloads []Assignment
	for _, need := range needs {
		candidates := candidatesFor(need, upstreams)
		for i, upstream := range candidates {
			target := Target{Upstream: upstream.Name, Incarnation: upstream.Incarnation, Model: need.Model}
			assignment := Assignment{Target: target, State: ModelLoaded, ChecksFencingToken: upstream.ChecksFencingToken}
			if i < need.Count {
				loads = append(loads, assignment)
				continue
			}
			assignment.State = ModelUnloaded
			unloads = append(unloads, assignment)
		}
	}
	return Plan{Assignments: append(loads, unloads...)}
}

func candidatesFor(need DesiredReplicas, upstreams []Upstream) []Upstream {
	var candidates []Upstream
	for _, upstream := range upstreams {
		if upstream.Zone == need.Zone && slices.Contains(upstream.AllowedModels, need.Model) {
			candidates = append(candidates, upstream)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].before(candidates[j], need.Model) })
	return candidates
}

// before prefers upstreams that have the model, then those with the fewest models.
func (u Upstream) before(other Upstream, model string) bool {
	has := slices.Contains(u.LoadedModels, model)
	if otherHas := slices.Contains(other.LoadedModels, model); has != otherHas {
		return has
	}
	if len(u.LoadedModels) != len(other.LoadedModels) && !has {
		return len(u.LoadedModels) < len(other.LoadedModels)
	}
	return strings.Compare(u.Name, other.Name) < 0
}
