package recorder

import (
	"slices"
	"time"
)

// View is one agreed configuration of an availability zone's record group: its members and its primary.
type View struct {
	Zone       string    `json:"zone"`
	Epoch      uint64    `json:"epoch"`
	EpochStart time.Time `json:"epoch-start,omitzero"` // zero for the first epoch, before which no key was executed
	Number     uint64    `json:"number"`
	Primary    string    `json:"primary"` // member id, <vm>#<suffix>
	Members    []string  `json:"members"` // member ids, including the primary
}

// Has reports whether the member belongs to the view.
func (v View) Has(member string) bool {
	return slices.Contains(v.Members, member)
}

// next returns the following view with the given primary and members, in the same epoch.
func (v View) next(primary string, members ...string) View {
	v.Number++
	v.Primary = primary
	v.Members = members
	return v
}
