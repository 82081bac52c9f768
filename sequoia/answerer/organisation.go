package answerer

import (
	"net/http"
	"time"

	"sequoiaspread.example/sequoia/director"
)

const (
	// causeUnknownKey means that the request has no key, or one that the document does not contain.
	causeUnknownKey = "unknown-key"
	// causeKeyInDoubt means the same at a VM whose document may not be the newest.
	causeKeyInDoubt = "unknown-key-in-doubt"
	// causeNoOrganisation means that the document of a VM which a request was forwarded to lacks the organisation. It
	// concerns only that VM.
	causeNoOrganisation = "no-organisation-here"
	// causeNoCommonHome means that the home regions of the route and the organisation have none in common.
	causeNoCommonHome = "no-home-in-common"
)

// identify finds the organisation that the request belongs to, if the document defines organisations. It answers the
// request itself and returns false if the request may not run.
func (j *job) identify() bool {
	if j.forwarded() {
		return j.identifyByName()
	}
	if !j.document.table.HasOrganisations() {
		return true
	}
	organisation, ok := j.document.table.FindOrganisation(j.a.config.HeaderCodec.ParseKey(j.r.Header))
	if !ok && !j.route.AllowAnonymous {
		j.rejectKey()
		return false
	}
	j.organisation = organisation
	return j.hasHome()
}

// identifyByName finds the organisation that the entry VM which the caller is connected to named. That VM has checked the
// key, also if it named none.
func (j *job) identifyByName() bool {
	name := j.r.Header.Get(headerOrganisation)
	if name == "" {
		return true
	}
	organisation, ok := j.document.table.Organisation(name)
	if !ok {
		j.closeWithBody()
		j.refuse(causeNoOrganisation, shortRetryAfter)
		return false
	}
	j.organisation = organisation
	return j.hasHome()
}

// rejectKey answers a request without a known key. A document that is in doubt may lack keys of the newest one, and a 401
// ends the retries of the caller.
func (j *job) rejectKey() {
	j.closeWithBody()
	if j.document.inDoubt(j.arrived) {
		j.refuse(causeKeyInDoubt, shortRetryAfter+time.Duration(float64(returnSpread)*randomFraction()))
		return
	}
	j.a.config.HeaderCodec.SetChallenge(j.w.Header())
	j.reply(http.StatusUnauthorized, causeUnknownKey)
}

// hasHome refuses the request and returns false if no region may process it.
func (j *job) hasHome() bool {
	if j.organisation == nil || len(j.route.HomeRegions) == 0 || len(j.organisation.HomeRegions) == 0 {
		return true
	}
	for _, region := range j.route.HomeRegions {
		if j.organisation.AllowsRegion(region) {
			return true
		}
	}
	j.closeWithBody()
	j.refuse(causeNoCommonHome, j.timeout())
	return false
}

// allowsRegion reports whether a region may process the request.
func (j *job) allowsRegion(region string) bool {
	return j.route.AllowsRegion(region) && (j.organisation == nil || j.organisation.AllowsRegion(region))
}

// hasHomes reports whether the request is restricted to home regions.
func (j *job) hasHomes() bool {
	return len(j.route.HomeRegions) > 0 || j.organisation != nil && len(j.organisation.HomeRegions) > 0
}

// rank returns the priority of the request.
func (j *job) rank() int {
	if j.organisation != nil && j.organisation.Rank != nil {
		return *j.organisation.Rank
	}
	return j.route.Rank
}

// timeout returns how long the request may take.
func (j *job) timeout() time.Duration {
	if j.info.Timeout > 0 {
		return min(j.route.Timeout, j.info.Timeout)
	}
	return j.route.Timeout
}

// organisationName returns the name of the organisation, or an empty string if there is none.
func organisationName(organisation *director.Organisation) string {
	if organisation == nil {
		return ""
	}
	return organisation.Name
}
