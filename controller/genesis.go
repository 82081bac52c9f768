package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"

	"github.com/google/uuid"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/loader"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
)

const (
	genesisVersion = 1
	// genesisIndex and genesisTerm are the log position of the snapshot that all initial members share.
	genesisIndex = 1
	genesisTerm  = 1
)

// initialise creates the data folder of one of the initial members that the document names.
func initialise(_ context.Context, settings *loader.Settings, documentPath string) (err error) {
	text, err := os.ReadFile(documentPath)
	if err != nil {
		return wrapError("init", kindDocument, err)
	}
	document, err := parser.Parse(documentPath, text)
	if err != nil {
		return wrapError("init", kindDocument, err)
	}
	if err := validateGenesis(settings, document); err != nil {
		return err
	}
	durableState, err := genesisState(document, text)
	if err != nil {
		return err
	}
	if err := createRecordStore(settings.DataFolder, string(initialMemberID(settings.VM))); err != nil {
		return err
	}
	store, err := openStore(settings.DataFolder)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	return createMember(agreer.NewDisk(store), initialMemberID(settings.VM), durableState)
}

func createMember(disk *agreer.Disk, id replicator.MemberID, durableState replicator.DurableState) error {
	existing, err := disk.MemberID()
	if err != nil {
		return err
	}
	if existing != "" {
		return newError("init", kindSettings, fmt.Sprintf("the data folder belongs to member %s", existing))
	}
	return disk.Create(id, durableState)
}

func validateGenesis(settings *loader.Settings, document *parser.Document) error {
	vm, ok := document.VM(settings.VM)
	switch {
	case document.Environment.Version != genesisVersion:
		return newError("init", kindDocument, "the first document must have version 1")
	case !ok || !vm.HasController():
		return newError("init", kindSettings, fmt.Sprintf("the document names no controller on VM %q", settings.VM))
	case vm.ControllerAddress.AddrPort != settings.ControllerAddress:
		return newError("init", kindSettings, "controller-address differs from the document")
	}
	return nil
}

// genesisState returns the durable state that every initial member starts from.
func genesisState(document *parser.Document, text []byte) (replicator.DurableState, error) {
	membership := replicator.Membership{Addresses: map[replicator.MemberID]netip.AddrPort{}}
	initial := promoter.Genesis{Text: text, Version: genesisVersion, Digest: documentDigest(document)}
	for _, vm := range document.VMs {
		if !vm.HasController() {
			continue
		}
		id := initialMemberID(vm.Name)
		membership.Addresses[id] = vm.ControllerAddress.AddrPort
		if vm.Voter {
			membership.Voters = append(membership.Voters, id)
		} else {
			membership.Learners = append(membership.Learners, id)
		}
		initial.Views = addToView(initial.Views, vm.Zone, string(id))
	}
	data, err := promoter.New(promoter.Config{}, initial).Snapshot()
	if err != nil {
		return replicator.DurableState{}, wrapError("init", kindConsensus, err)
	}
	return replicator.DurableState{
		State:    replicator.HardState{Term: genesisTerm, Commit: genesisIndex},
		Snapshot: replicator.Snapshot{Index: genesisIndex, Term: genesisTerm, Membership: membership, Data: data},
	}, nil
}

// addToView adds a member to the initial view of an availability zone; the first member added is the primary.
func addToView(views []promoter.View, zone, member string) []promoter.View {
	index := slices.IndexFunc(views, func(view promoter.View) bool { return view.Zone == zone })
	if index < 0 {
		return append(views, promoter.View{Zone: zone, Epoch: 1, Number: 1, Primary: member, Members: []string{member}})
	}
	views[index].Members = append(views[index].Members, member)
	return views
}

func initialMemberID(vm string) replicator.MemberID {
	return replicator.MemberID(vm + "#1")
}

// newMemberID returns a unique id, so that a VM with a new disk never reuses the id of a lost one.
func newMemberID(vm string) (replicator.MemberID, error) {
	id, err := uuid.NewRandom()
	if err != nil {
		return "", wrapError("generate member id", kindSettings, err)
	}
	return replicator.MemberID(vm + "#" + id.String()), nil
}

// loadMember returns the member id and state of a data folder. In an empty folder it creates a new member without
// state.
func loadMember(disk *agreer.Disk, vm string) (replicator.MemberID, replicator.DurableState, error) {
	id, err := disk.MemberID()
	if err != nil {
		return "", replicator.DurableState{}, err
	}
	if id == "" {
		if id, err = newMemberID(vm); err != nil {
			return "", replicator.DurableState{}, err
		}
		return id, replicator.DurableState{}, disk.Create(id, replicator.DurableState{})
	}
	if id.VM() != vm {
		return "", replicator.DurableState{}, newError("load member", kindSettings, fmt.Sprintf("the data folder belongs to member %s", id))
	}
	durableState, err := disk.Load()
	return id, durableState, err
}
