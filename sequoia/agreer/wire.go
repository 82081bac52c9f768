package agreer

import (
	"encoding/json"
	"net/netip"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/replicator"
)

// Methods between members.
const (
	methodReplicate = "replicate"
	methodPropose   = "propose"
	methodJoin      = "join"
)

// Error codes of the methods between members.
const (
	codeNotLeader = 1000 + iota
	codeUndecided
	codeRetired
	codeRefused
)

// messageKind is the type of a consensus message on the wire.
type messageKind string

const (
	kindVoteRequest     messageKind = "vote-request"
	kindVoteReply       messageKind = "vote-reply"
	kindAppendRequest   messageKind = "append-request"
	kindAppendReply     messageKind = "append-reply"
	kindInstallSnapshot messageKind = "install-snapshot"
	kindTimeoutNow      messageKind = "transfer-now"
)

// replicateParams carries messages of one sender. Address is the sender's own address, for a receiver that has no
// membership yet.
type replicateParams struct {
	Address  netip.AddrPort `json:"address"`
	Messages []wireMessage  `json:"messages"`
}

type wireMessage struct {
	Kind messageKind     `json:"kind"`
	Body json.RawMessage `json:"body"`
}

func encodeMessage(message replicator.PeerMessage) (wireMessage, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return wireMessage{}, wrapError("encode message", KindConsensus, err)
	}
	return wireMessage{Kind: kindOf(message), Body: body}, nil
}

func kindOf(message replicator.PeerMessage) messageKind {
	switch message.(type) {
	case replicator.VoteRequest:
		return kindVoteRequest
	case replicator.VoteReply:
		return kindVoteReply
	case replicator.AppendRequest:
		return kindAppendRequest
	case replicator.AppendReply:
		return kindAppendReply
	case replicator.InstallSnapshot:
		return kindInstallSnapshot
	default:
		return kindTimeoutNow
	}
}

// decodeMessages decodes the messages of one call and the address of their sender; one invalid message rejects all.
func decodeMessages(params json.RawMessage) ([]replicator.PeerMessage, netip.AddrPort, error) {
	batch, err := messenger.Decode[replicateParams](params)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	messages := make([]replicator.PeerMessage, 0, len(batch.Messages))
	for _, encoded := range batch.Messages {
		message, err := decodeMessage(encoded)
		if err != nil {
			return nil, netip.AddrPort{}, err
		}
		messages = append(messages, message)
	}
	return messages, batch.Address, nil
}

func decodeMessage(wire wireMessage) (replicator.PeerMessage, error) {
	switch wire.Kind {
	case kindVoteRequest:
		return decodeAndValidate[replicator.VoteRequest](wire.Body)
	case kindVoteReply:
		return decodeAndValidate[replicator.VoteReply](wire.Body)
	case kindAppendRequest:
		return decodeAndValidate[replicator.AppendRequest](wire.Body)
	case kindAppendReply:
		return decodeAndValidate[replicator.AppendReply](wire.Body)
	case kindInstallSnapshot:
		return decodeAndValidate[replicator.InstallSnapshot](wire.Body)
	case kindTimeoutNow:
		return decodeAndValidate[replicator.TimeoutNow](wire.Body)
	}
	return nil, &messenger.RemoteError{Code: messenger.CodeInvalidParams, Message: "message kind is not known"}
}

// decodeAndValidate decodes a message and rejects a malformed one.
func decodeAndValidate[T replicator.PeerMessage](body json.RawMessage) (replicator.PeerMessage, error) {
	message, err := messenger.Decode[T](body)
	if err != nil {
		return nil, err
	}
	if err := replicator.ValidateMessage(message); err != nil {
		return nil, &messenger.RemoteError{Code: messenger.CodeInvalidParams, Message: err.Error()}
	}
	return message, nil
}
