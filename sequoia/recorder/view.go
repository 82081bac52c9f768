package recorder

import (
	"slices"
	"time"
)

// View is one agreed configuration of an availability zone's record group.
type View struct {
	Zone       string    `json:"zone"`
	Epoch      uint64    `json:"epoch"`
	EpochStart time.Time `json:"epoch-start,omitzero"` // zero for the first epoch, before which no key ran
	Number     uint64    `json:"number"`
	Primary    string    `json:"primary"` // member id, <vm>#<suffix>
	Members    []string  `json:"members"` // member ids with the primary
}

// Has reports whether the member belongs to the view.
func (v View) Has(member string) bool {
	return slices.Contains(v.Members, member)
}

// next returns the view that follows with the given members and the same epoch.
func (v View) next(primary string, members ...string) View {
	v.Number++
	v.Primary = primary
	v.Members = members
	return v
}
