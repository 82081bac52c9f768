package director

import (
	"crypto/sha256"
	"slices"
	"strings"
	"unicode"
)

// KeyDigest is the SHA-256 digest of a key. Documents and tables hold no keys, so that none can be logged or sent on.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Organisation is a group of callers that is identified by its keys.
type Organisation struct {
	Name       string
	KeyDigests []KeyDigest
	// Rank replaces the rank of the route; nil if the route's applies.
	Rank *int
	// HomeRegions are the regions that may process the requests of the organisation; empty means all.
	HomeRegions []string
	Limit       RateLimit
}

// RateLimit is how much an organisation may send through all entry VMs together.
type RateLimit struct {
	// Rate is the number of units per second; 0 means no limit.
	Rate float64
	// Burst is the number of units that may be sent at once after a pause.
	Burst float64
	// PlainUnits is the cost of a request that states no token counts, if tokens are counted.
	PlainUnits int
	// CountsTokens means that a unit is a token. Otherwise it is a request.
	CountsTokens bool
}

// AllowsRegion reports whether a region may process requests of the organisation.
func (o *Organisation) AllowsRegion(region string) bool {
	return allowsRegion(o.HomeRegions, region)
}

// allowsRegion reports whether a list of home regions, which if empty stands for all, allows a region.
func allowsRegion(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// validateOrganisations returns the first contradiction among the organisations. Errors hold no key.
func (d *Document) validateOrganisations() error {
	positions := make(map[string]int, len(d.Organisations))
	owners := map[KeyDigest]string{}
	for i, organisation := range d.Organisations {
		if err := organisation.validate(i); err != nil {
			return err
		}
		if other, taken := positions[organisation.Name]; taken {
			return invalid("organisations %d and %d have the same name %q", other, i, organisation.Name)
		}
		positions[organisation.Name] = i
		for _, digest := range organisation.KeyDigests {
			if other, taken := owners[digest]; taken && other != organisation.Name {
				return invalid("organisations %q and %q have a key in common", other, organisation.Name)
			}
			owners[digest] = organisation.Name
		}
	}
	return nil
}

// emptyKey is the digest of a key that a request without a key would have.
var emptyKey = DigestKey("")

func (o *Organisation) validate(index int) error {
	switch {
	case o.Name == "":
		return invalid("organisation %d has no name", index)
	case strings.TrimSpace(o.Name) != o.Name || strings.ContainsFunc(o.Name, unicode.IsControl):
		// The name is sent in a header field.
		return invalid("the name of organisation %d, %q, has control characters or begins or ends with a space", index, o.Name)
	case slices.Contains(o.KeyDigests, emptyKey):
		return invalid("organisation %q has an empty key", o.Name)
	case o.Limit.Rate < 0 || o.Limit.Burst < 0 || o.Limit.PlainUnits < 0:
		return invalid("the rate limit of organisation %q has a negative number", o.Name)
	}
	return nil
}

// organisationIndex finds the organisations of one document.
type organisationIndex struct {
	byKey  map[KeyDigest]*Organisation
	byName map[string]*Organisation
}

func newOrganisationIndex(organisations []Organisation) organisationIndex {
	index := organisationIndex{byKey: map[KeyDigest]*Organisation{}, byName: map[string]*Organisation{}}
	for i := range organisations {
		organisation := &organisations[i]
		index.byName[organisation.Name] = organisation
		for _, digest := range organisation.KeyDigests {
			index.byKey[digest] = organisation
		}
	}
	return index
}

// HasOrganisations reports whether the document defines organisations. If not, the keys of requests have no meaning.
func (t *Table) HasOrganisations() bool {
	return len(t.organisations.byName) > 0
}

// FindOrganisation returns the organisation that a key belongs to. Keys are compared by digest, so that a lookup takes
// the same time for all keys.
func (t *Table) FindOrganisation(key string) (*Organisation, bool) {
	if key == "" {
		return nil, false
	}
	organisation, ok := t.organisations.byKey[DigestKey(key)]
	return organisation, ok
}

// Organisation returns the organisation with the given name.
func (t *Table) Organisation(name string) (*Organisation, bool) {
	organisation, ok := t.organisations.byName[name]
	return organisation, ok
}

// Organisations returns the organisations by name.
func (t *Table) Organisations() map[string]*Organisation {
	return t.organisations.byName
}
