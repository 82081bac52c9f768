package replicator

// Check refuses a message of a peer that no member sends; the error has kind corrupt-state.
func Check(message PeerMessage) error {
	head := message.Head()
	if head.From == "" || head.To == "" {
		return newError("check message", KindCorrupt, "the message names no sender or receiver")
	}
	request, ok := message.(AppendRequest)
	if !ok {
		return nil
	}
	for i, entry := range request.Entries {
		if entry.Index != request.PrevIndex+1+uint64(i) {
			return newError("check message", KindCorrupt, "the entries do not follow each other")
		}
		if entry.Term == 0 || entry.Term > head.Term {
			return newError("check message", KindCorrupt, "an entry has a wrong term")
		}
		if (entry.Kind == EntryMembership) != (entry.Membership != nil) {
			return newError("check message", KindCorrupt, "an entry has a wrong kind")
		}
	}
	return nil
}
