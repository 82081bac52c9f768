package replicator

// ValidateMessage rejects a malformed message of a peer; the error has kind corrupt-state.
func ValidateMessage(message PeerMessage) error {
	header := message.MessageHeader()
	if header.From == "" || header.To == "" {
		return newError("check message", KindCorruptState, "the message names no sender or receiver")
	}
	switch m := message.(type) {
	case AppendRequest:
		return validateEntries(m)
	case InstallSnapshot:
		if m.Snapshot.Index == 0 || m.Snapshot.Term == 0 || m.Snapshot.Term > header.Term || len(m.Snapshot.Membership.Voters) == 0 {
			return newError("check message", KindCorruptState, "the snapshot has a wrong index or term, or no voter")
		}
	}
	return nil
}

func validateEntries(request AppendRequest) error {
	for i, entry := range request.Entries {
		if entry.Index != request.PrevIndex+1+uint64(i) {
			return newError("check message", KindCorruptState, "the entries do not follow each other")
		}
		if entry.Term == 0 || entry.Term > request.Term {
			return newError("check message", KindCorruptState, "an entry has a wrong term")
		}
		if (entry.Kind == EntryMembership) != (entry.Membership != nil) {
			return newError("check message", KindCorruptState, "an entry has a wrong kind")
		}
	}
	return nil
}
