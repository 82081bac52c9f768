package parser

import "fmt"

// CheckTransition reports whether a document may replace the given previous one; the error lists all faults. The home
// zone of an organisation must not change: its idempotency records are stored there, so a request with a key used in
// the old zone could run a second time in the new one.
func CheckTransition(before, after *Document) error {
	var faults []Fault
	for i, org := range after.Organisations {
		previous, ok := before.Organisation(org.Name)
		if !ok || previous.HomeZone == org.HomeZone {
			continue
		}
		faults = append(faults, Fault{
			File: after.Environment.Name, Line: 1, Key: fmt.Sprintf("organisations[%d].home-zone", i), Kind: KindRule,
			Cause: fmt.Sprintf("the home of organisation %q was %q and cannot change", org.Name, previous.HomeZone),
			Valid: previous.HomeZone + ", or an organisation with a new name",
		})
	}
	if len(faults) == 0 {
		return nil
	}
	transitionErr := newError("check transition", KindInvalid, "document cannot replace the current one")
	transitionErr.Faults = faults
	return transitionErr
}
