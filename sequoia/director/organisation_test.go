package director

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func documentWithOrganisations() *Document {
	d := validDocument()
	d.Organisations = []Organisation{
		{Name: "acme", KeyDigests: []KeyDigest{DigestKey("secret-1"), DigestKey("secret-2")}},
		{Name: "base", KeyDigests: []KeyDigest{DigestKey("secret-3")}, HomeRegions: []string{"n"}},
	}
	return d
}

// Guards against ambiguous organisations, and against errors that do not say which organisation is meant or that show a
// key or its digest.
func TestValidateNamesTheOrganisationAndNoKey(t *testing.T) {
	assert.NilError(t, documentWithOrganisations().Validate())
	for place, corrupt := range map[string]func(d *Document){
		`organisations "acme" and "base" have a key in common`:    func(d *Document) { d.Organisations[1].KeyDigests[0] = DigestKey("secret-2") },
		`organisations 0 and 1 have the same name "acme"`:         func(d *Document) { d.Organisations[1].Name = "acme" },
		`organisation 1 has no name`:                              func(d *Document) { d.Organisations[1].Name = "" },
		`the name of organisation 1, "a\r\nb", has control`:       func(d *Document) { d.Organisations[1].Name = "a\r\nb" },
		`the name of organisation 0, " a", has control`:           func(d *Document) { d.Organisations[0].Name = " a" },
		`organisation "base" has an empty key`:                    func(d *Document) { d.Organisations[1].KeyDigests[0] = DigestKey("") },
		`the rate limit of organisation "acme" has a negative nu`: func(d *Document) { d.Organisations[0].Limit.Rate = -1 },
	} {
		d := documentWithOrganisations()
		corrupt(d)
		err := d.Validate()
		assert.ErrorContains(t, err, place)
		assert.Assert(t, !strings.Contains(err.Error(), "secret"), "%v", err)
	}
}

// Guards against a key listed twice by its own organisation being taken for a contradiction.
func TestOrganisationMayListAKeyTwice(t *testing.T) {
	d := documentWithOrganisations()
	d.Organisations[0].KeyDigests[1] = DigestKey("secret-1")
	assert.NilError(t, d.Validate())
}

// Guards against a missing or unknown key being taken for that of an organisation.
func TestFindOrganisationByKeyAndName(t *testing.T) {
	table := NewTable(documentWithOrganisations())
	assert.Assert(t, table.HasOrganisations() && !NewTable(validDocument()).HasOrganisations())
	for key, name := range map[string]string{"secret-1": "acme", "secret-2": "acme", "secret-3": "base", "": "", "secret": "", "acme": ""} {
		found, ok := table.FindOrganisation(key)
		assert.Equal(t, ok, name != "", key)
		if ok {
			assert.Equal(t, found.Name, name)
		}
	}
	base, ok := table.Organisation("base")
	assert.Assert(t, ok && base.AllowsRegion("n") && !base.AllowsRegion("s"))
	_, ok = table.Organisation("secret-3")
	assert.Assert(t, !ok)
}
