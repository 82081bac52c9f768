package promoter

import (
	"fmt"
	"slices"
)

func (p *Promoter) changeView(c ChangeView) Outcome {
	current, exists := p.state.Views[c.Zone]
	if c.Previous != current.Number {
		reason := fmt.Sprintf("the current view is %d, not %d", current.Number, c.Previous)
		return Outcome{Result: ResultStale, Reason: reason, View: &current}
	}
	if reason := p.invalidViewReason(c.Zone, c.Primary, c.Members); reason != "" {
		return Outcome{Result: ResultForbidden, Reason: reason, View: &current}
	}
	if exists && !hasCommonMember(current.Members, c.Members) {
		return Outcome{Result: ResultForbidden, Reason: "the new view shares no member with the current one", View: &current}
	}
	next := current
	next.Zone = c.Zone
	next.Epoch = max(current.Epoch, 1)
	next.Number = current.Number + 1
	next.Primary = c.Primary
	next.Members = slices.Clone(c.Members)
	p.state.Views[c.Zone] = next
	return Outcome{Result: ResultAccepted, View: &next}
}

func (p *Promoter) startEpoch(command Command, s StartEpoch) Outcome {
	current, exists := p.state.Views[s.Zone]
	if !exists || s.PreviousEpoch != current.Epoch || s.PreviousView != current.Number {
		reason := fmt.Sprintf("the current epoch is %d with view %d", current.Epoch, current.Number)
		return Outcome{Result: ResultStale, Reason: reason, View: &current}
	}
	if reason := p.invalidViewReason(s.Zone, s.Primary, s.Members); reason != "" {
		return Outcome{Result: ResultForbidden, Reason: reason, View: &current}
	}
	if !sameMembers(s.Lost, current.Members) || hasCommonMember(s.Lost, s.Members) {
		reason := "a new epoch must name all members of the current view as lost and keep none of them"
		return Outcome{Result: ResultForbidden, Reason: reason, View: &current}
	}
	for _, member := range s.Lost {
		p.state.Lost[member] = true
	}
	next := View{
		Zone: s.Zone, Epoch: current.Epoch + 1, EpochStart: command.Issued,
		Number: current.Number + 1, Primary: s.Primary, Members: slices.Clone(s.Members),
	}
	p.state.Views[s.Zone] = next
	return Outcome{Result: ResultAccepted, View: &next}
}

// invalidViewReason returns why the members cannot form a view, or "".
func (p *Promoter) invalidViewReason(zone, primary string, members []string) string {
	sorted := slices.Sorted(slices.Values(members))
	switch {
	case zone == "":
		return "the availability zone has no name"
	case len(members) == 0:
		return "the view has no member"
	case !slices.Contains(members, primary):
		return "the primary is not a member of the view"
	case len(slices.Compact(sorted)) != len(members):
		return "the view names a member twice"
	case slices.ContainsFunc(members, func(m string) bool { return p.state.Lost[m] }):
		return "the view names a member that was declared lost"
	}
	return ""
}

func hasCommonMember(a, b []string) bool {
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

func sameMembers(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
