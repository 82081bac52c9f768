package parser

import "fmt"

// CheckTransition refuses a document that may follow no document with the given content: the error lists all faults.
// A booking record lives in the home availability zone of its organisation, so an organisation that moved could run a
// key of the old home a second time.
func CheckTransition(before, after *Document) error {
	var faults []Fault
	for i, org := range after.Organisations {
		old, ok := before.Organisation(org.Name)
		if !ok || old.HomeZone == org.HomeZone {
			continue
		}
		faults = append(faults, Fault{
			File: after.Environment.Name, Line: 1, Key: fmt.Sprintf("organisations[%d].home-zone", i), Kind: KindRule,
			Cause: fmt.Sprintf("the home of organisation %q was %q and cannot change", org.Name, old.HomeZone),
			Valid: old.HomeZone + ", or an organisation with a new name",
		})
	}
	if len(faults) == 0 {
		return nil
	}
	failure := newError("check transition", KindInvalid, "document cannot follow the one in force")
	failure.Faults = faults
	return failure
}
