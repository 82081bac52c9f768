package main

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/restrictor"
)

// environment is one configuration version with the indexes that requests need. It is immutable.
type environment struct {
	version               uint64
	doc                   *parser.Document
	restrictor            *restrictor.Restrictor
	organisationsByDigest map[string]parser.Organisation
	servicesByModel       map[string]parser.Service
}

func newEnvironment(version uint64, doc *parser.Document) *environment {
	env := &environment{
		version:               version,
		doc:                   doc,
		restrictor:            restrictor.New(doc),
		organisationsByDigest: map[string]parser.Organisation{},
		servicesByModel:       map[string]parser.Service{},
	}
	for _, organisation := range doc.Organisations {
		env.organisationsByDigest[organisation.KeyDigest] = organisation
	}
	for _, model := range doc.Models {
		if service, ok := doc.ServiceForModel(model.Name); ok {
			env.servicesByModel[model.Name] = service
		}
	}
	return env
}

// organisationByKey looks an organisation up by the digest of its key, so that no key is stored.
func (e *environment) organisationByKey(key string) (parser.Organisation, bool) {
	digest := sha256.Sum256([]byte(key))
	organisation, ok := e.organisationsByDigest[hex.EncodeToString(digest[:])]
	return organisation, ok
}

// zoneVMs returns the entry VMs of an availability zone.
func (e *environment) zoneVMs(zone string) []parser.VM {
	return slices.DeleteFunc(slices.Clone(e.doc.VMs), func(vm parser.VM) bool { return vm.Zone != zone })
}
