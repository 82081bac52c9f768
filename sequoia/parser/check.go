package parser

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"
)

const (
	keyDigestBytes = 32
	maxNameLength  = 64
)

// checker collects the faults of one document.
type checker struct {
	file      string
	doc       *Document
	positions positions
	faults    []Fault
}

// declaredNames collects the declared names of one kind, to detect duplicates and unknown references.
type declaredNames struct {
	kind string
	list []string
}

func check(file string, doc *Document, lines positions) []Fault {
	c := &checker{file: file, doc: doc, positions: lines}
	c.checkValues("", reflect.ValueOf(*doc))
	c.checkEnvironment()
	zones := c.checkRegions()
	c.checkVMs(zones)
	ranks := c.checkRanks()
	models := c.checkModels()
	pools := c.checkPools(zones, models)
	services := c.checkServices(pools, ranks)
	organisations := c.checkOrganisations(zones)
	c.checkResidencyRules(zones, services, organisations)
	return c.faults
}

func sortFaults(faults []Fault) []Fault {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return faults
}

func (c *checker) add(key string, kind Kind, cause, valid string) {
	c.faults = append(c.faults, Fault{File: c.file, Line: c.positions.line(key), Key: key, Kind: kind, Cause: cause, Valid: valid})
}

func (c *checker) declare(n *declaredNames, key, name string) {
	switch {
	case !validName(name):
		c.add(key, KindValue, fmt.Sprintf("%s name %q is not valid", n.kind, name), "1 to 64 lower-case letters, digits and hyphens, such as \"cairo-a\"")
	case slices.Contains(n.list, name):
		c.add(key, KindName, fmt.Sprintf("%s %q is declared twice", n.kind, name), "a name used once")
	}
	n.list = append(n.list, name)
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == "" && !strings.HasPrefix(name, "-") && !strings.HasSuffix(name, "-")
}

func (c *checker) checkReference(n declaredNames, key, name string) {
	if slices.Contains(n.list, name) {
		return
	}
	c.add(key, KindName, fmt.Sprintf("%s %q is not declared", n.kind, name), strings.Join(n.list, ", "))
}

func (c *checker) require(ok bool, key, cause, valid string) {
	if !ok {
		c.add(key, KindValue, cause, valid)
	}
}

func (c *checker) checkEnvironment() {
	env := c.doc.Environment
	if !validName(env.Name) {
		c.add("environment.name", KindValue, "environment has no valid name", "lower-case letters, digits and hyphens")
	}
	c.require(env.Stage == StageTrial || env.Stage == StageProduction, "environment.stage", fmt.Sprintf("stage %q is not known", env.Stage), "trial, production")
	c.require(env.Version > 0, "environment.version", "version is missing or 0", "1 or more")
	c.require(c.doc.Network.ZoneDelay.Duration >= 0, "network.zone-delay", "delay is negative", "0s or more")
	c.require(c.doc.Network.RegionDelay.Duration >= 0, "network.region-delay", "delay is negative", "0s or more")
	c.require(c.doc.Network.CallerDelay.Duration >= 0, "network.caller-delay", "delay is negative", "0s or more")
}

func (c *checker) checkRegions() declaredNames {
	regions := declaredNames{kind: "region"}
	zones := declaredNames{kind: "availability zone"}
	for i, region := range c.doc.Regions {
		c.declare(&regions, fmt.Sprintf("regions[%d].name", i), region.Name)
		for _, zone := range region.Zones {
			c.declare(&zones, fmt.Sprintf("regions[%d].zones", i), zone)
		}
		c.require(len(region.Zones) > 0, fmt.Sprintf("regions[%d].zones", i), "region has no availability zone", "at least one name")
	}
	c.require(len(c.doc.Regions) > 0, "regions", "document has no region", "at least one [[regions]] table")
	return zones
}

func (c *checker) checkVMs(zones declaredNames) {
	vms := declaredNames{kind: "VM"}
	voters := 0
	for i, vm := range c.doc.VMs {
		key := fmt.Sprintf("vms[%d]", i)
		c.declare(&vms, key+".name", vm.Name)
		c.checkReference(zones, key+".zone", vm.Zone)
		c.require(vm.CallerAddress.IsValid(), key+".caller-address", "address is missing", "an IP address and port, such as \"127.0.0.1:8080\"")
		c.require(vm.InternalAddress.IsValid(), key+".internal-address", "address is missing", "an IP address and port")
		c.require(vm.RPCAddress.IsValid(), key+".rpc-address", "address is missing", "an IP address and port")
		c.require(!vm.Voter || vm.HasController(), key+".voter", "a voter needs a controller", "a controller-address beside voter = true")
		if vm.Voter {
			voters++
		}
	}
	c.require(voters%2 == 1, "vms", fmt.Sprintf("document has %d voters", voters), "an odd number of VMs with voter = true")
}

func (c *checker) checkRanks() declaredNames {
	ranks := declaredNames{kind: "rank"}
	total := 0.0
	for i, rank := range c.doc.Ranks {
		key := fmt.Sprintf("ranks[%d]", i)
		c.declare(&ranks, key+".name", rank.Name)
		c.require(rank.FirstTokenTarget.Duration > 0, key+".first-token-target", "target is missing or not positive", "a duration such as \"320ms\"")
		c.require(rank.TokenIntervalTarget.Duration > 0, key+".token-interval-target", "target is missing or not positive", "a duration such as \"29ms\"")
		c.require(rank.Objective > 0 && rank.Objective < 1, key+".objective", fmt.Sprintf("objective %v is out of range", rank.Objective), "more than 0 and less than 1, such as 0.95")
		c.require(rank.GuaranteedShare > 0 && rank.GuaranteedShare <= 1, key+".guaranteed-share", fmt.Sprintf("share %v is out of range", rank.GuaranteedShare), "more than 0 and at most 1")
		c.require(rank.QueueLimit > 0, key+".queue-limit", "limit is missing or not positive", "1 or more")
		c.require(rank.MaxWait.Duration > 0, key+".max-wait", "wait is missing or not positive", "a duration such as \"2s\"")
		total += rank.GuaranteedShare
	}
	c.require(len(c.doc.Ranks) > 0, "ranks", "document has no rank", "at least one [[ranks]] table")
	c.require(total <= 1+1e-9, "ranks", fmt.Sprintf("guaranteed shares add up to %v", total), "a sum of at most 1")
	return ranks
}

func (c *checker) checkModels() declaredNames {
	models := declaredNames{kind: "model"}
	for i, model := range c.doc.Models {
		key := fmt.Sprintf("models[%d]", i)
		c.declare(&models, key+".name", model.Name)
		c.require(model.ColdStart.Duration > 0, key+".cold-start", "cold start is missing or not positive", "a duration such as \"90s\"")
	}
	return models
}

func (c *checker) checkPools(zones, models declaredNames) declaredNames {
	pools := declaredNames{kind: "pool"}
	for i, pool := range c.doc.Pools {
		key := fmt.Sprintf("pools[%d]", i)
		c.declare(&pools, key+".name", pool.Name)
		c.require(pool.Kind == PoolEngine || pool.Kind == PoolPlain, key+".kind", fmt.Sprintf("kind %q is not known", pool.Kind), "engine, plain")
		c.require(pool.Kind != PoolEngine || len(pool.Models) > 0, key+".models", "an engine pool serves no model", strings.Join(models.list, ", "))
		c.require(pool.BatchLimit > 0, key+".batch-limit", "limit is missing or not positive", "1 or more")
		c.require(pool.UpstreamTokensPerSecond >= 0, key+".upstream-tokens-per-second", "rate is negative", "0 or more")
		c.require(pool.MinimumPerZone >= 0, key+".minimum-per-zone", "minimum is negative", "0 or more")
		c.require(len(pool.Zones) > 0, key+".zones", "pool has no availability zone", strings.Join(zones.list, ", "))
		for _, zone := range pool.Zones {
			c.checkReference(zones, key+".zones", zone)
		}
		for _, model := range pool.Models {
			c.checkReference(models, key+".models", model)
		}
	}
	return pools
}

func (c *checker) checkServices(pools, ranks declaredNames) declaredNames {
	services := declaredNames{kind: "service"}
	for i, service := range c.doc.Services {
		key := fmt.Sprintf("services[%d]", i)
		c.declare(&services, key+".name", service.Name)
		c.checkReference(pools, key+".pool", service.Pool)
		c.checkReference(ranks, key+".default-rank", service.DefaultRank)
		c.require(service.Timeout.Duration > 0, key+".timeout", "timeout is missing or not positive", "a duration such as \"5s\"")
		for j, op := range service.Operations {
			opKey := fmt.Sprintf("%s.operations[%d]", key, j)
			c.require(op.Method != "" && op.Method == strings.ToUpper(op.Method), opKey+".method", fmt.Sprintf("method %q is not valid", op.Method), "an HTTP method in upper case, such as POST")
			c.require(strings.HasPrefix(op.Path, "/"), opKey+".path", fmt.Sprintf("path %q is not valid", op.Path), "a path that starts with /")
		}
	}
	return services
}

func (c *checker) checkOrganisations(zones declaredNames) declaredNames {
	organisations := declaredNames{kind: "organisation"}
	digests := declaredNames{kind: "key digest"}
	for i, org := range c.doc.Organisations {
		key := fmt.Sprintf("organisations[%d]", i)
		c.declare(&organisations, key+".name", org.Name)
		c.checkReference(zones, key+".home-zone", org.HomeZone)
		c.require(org.Weight > 0, key+".weight", "weight is missing or not positive", "more than 0, such as 1.0")
		raw, err := hex.DecodeString(org.KeyDigest)
		c.require(err == nil && len(raw) == keyDigestBytes && org.KeyDigest == strings.ToLower(org.KeyDigest), key+".key-digest", "digest is not valid", "the SHA-256 of the key as 64 lower-case hexadecimal digits")
		c.require(!slices.Contains(digests.list, org.KeyDigest), key+".key-digest", "digest is used by another organisation", "a key of its own")
		digests.list = append(digests.list, org.KeyDigest)
	}
	return organisations
}

func (c *checker) checkResidencyRules(zones, services, organisations declaredNames) {
	rules := declaredNames{kind: "residency rule"}
	regions := declaredNames{kind: "region"}
	for _, region := range c.doc.Regions {
		regions.list = append(regions.list, region.Name)
	}
	for i, rule := range c.doc.ResidencyRules {
		key := fmt.Sprintf("residency-rules[%d]", i)
		c.declare(&rules, key+".name", rule.Name)
		c.checkReferences(organisations, key+".organisations", rule.Organisations)
		c.checkReferences(services, key+".services", rule.Services)
		c.checkReferences(regions, key+".regions", rule.Regions)
		c.checkReferences(zones, key+".zones", rule.Zones)
		c.require(len(rule.Regions)+len(rule.Zones) > 0, key, "rule allows no place", "regions or zones with at least one name")
	}
	c.checkSatisfiable()
}

func (c *checker) checkReferences(n declaredNames, key string, list []string) {
	for _, name := range list {
		c.checkReference(n, key, name)
	}
}

// checkSatisfiable reports residency rules that together leave no upstream for a pair of organisation and service.
func (c *checker) checkSatisfiable() {
	for i, rule := range c.doc.ResidencyRules {
		for _, service := range c.doc.Services {
			if len(rule.Services) > 0 && !slices.Contains(rule.Services, service.Name) {
				continue
			}
			c.checkServable(i, rule, service)
		}
	}
}

func (c *checker) checkServable(index int, rule ResidencyRule, service Service) {
	pool, ok := c.doc.Pool(service.Pool)
	if !ok {
		return
	}
	for _, org := range c.doc.Organisations {
		if len(rule.Organisations) > 0 && !slices.Contains(rule.Organisations, org.Name) {
			continue
		}
		allowed := c.doc.AllowedZones(org.Name, service.Name)
		served := slices.ContainsFunc(pool.Zones, func(zone string) bool { return slices.Contains(allowed, zone) })
		if !served {
			cause := fmt.Sprintf("no upstream of service %q is in a place allowed for organisation %q", service.Name, org.Name)
			c.add(fmt.Sprintf("residency-rules[%d]", index), KindRule, cause, "a place among "+strings.Join(pool.Zones, ", "))
			return
		}
	}
}

// AllowedZones returns the availability zones that satisfy all residency rules for an organisation and service.
func (d *Document) AllowedZones(organisation, service string) []string {
	allowed := d.Zones()
	for _, rule := range d.ResidencyRules {
		if !rule.applies(organisation, service) {
			continue
		}
		allowed = slices.DeleteFunc(allowed, func(zone string) bool { return !rule.allows(zone, d.RegionOf(zone)) })
	}
	return allowed
}

func (r ResidencyRule) applies(organisation, service string) bool {
	forOrganisation := len(r.Organisations) == 0 || slices.Contains(r.Organisations, organisation)
	forService := len(r.Services) == 0 || slices.Contains(r.Services, service)
	return forOrganisation && forService
}

func (r ResidencyRule) allows(zone, region string) bool {
	return slices.Contains(r.Zones, zone) || slices.Contains(r.Regions, region)
}
