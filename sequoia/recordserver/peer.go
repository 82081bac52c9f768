package recordserver

import (
	"context"
	"net/netip"
	"time"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/recorder"
)

// peerTimeout is the timeout of one message between members. The recorder resends lost messages.
const peerTimeout = time.Second

// wirePeer is the wire form of a peer message; exactly one field is set.
type wirePeer struct {
	Replicate *recorder.Replicate `json:"copy,omitempty"`
	Ack       *recorder.Ack       `json:"ack,omitempty"`
	Join      *recorder.Join      `json:"join,omitempty"`
	Depart    *recorder.Depart    `json:"depart,omitempty"`
}

func encodePeer(message recorder.PeerMessage) wirePeer {
	switch m := message.(type) {
	case recorder.Replicate:
		return wirePeer{Replicate: &m}
	case recorder.Ack:
		return wirePeer{Ack: &m}
	case recorder.Join:
		return wirePeer{Join: &m}
	case recorder.Depart:
		return wirePeer{Depart: &m}
	}
	return wirePeer{}
}

func (w wirePeer) message() (recorder.PeerMessage, bool) {
	switch {
	case w.Replicate != nil:
		return *w.Replicate, true
	case w.Ack != nil:
		return *w.Ack, true
	case w.Join != nil:
		return *w.Join, true
	case w.Depart != nil:
		return *w.Depart, true
	}
	return nil, false
}

// SendPeer sends a message to another member, without retries.
func SendPeer(ctx context.Context, pool *messenger.Pool, address netip.AddrPort, message recorder.PeerMessage) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := pool.Client(address).Call(ctx, methodPeerMessage, encodePeer(message), nil); err != nil {
		return newError(methodPeerMessage, KindCall, err)
	}
	return nil
}
