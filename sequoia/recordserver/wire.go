package recordserver

import (
	"time"

	"sequoiaspread.example/sequoia/recorder"
)

const (
	methodBegin       = "record.begin"
	methodFinish      = "record.finish"
	methodRelease     = "record.release"
	methodLookup      = "record.lookup"
	methodSession     = "record.session"
	methodPeerMessage = "record.copy"
)

type wireBegin struct {
	Zone         string `json:"zone"`
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Digest       string `json:"digest"`
	Service      string `json:"service"`
	Attempt      string `json:"attempt"`
}

type wireFinish struct {
	Zone         string            `json:"zone"`
	Organisation string            `json:"organisation"`
	Key          string            `json:"key"`
	Attempt      string            `json:"attempt"`
	Result       recorder.Result   `json:"result"`
	Answer       recorder.Response `json:"answer,omitzero"`
}

type wireRelease struct {
	Zone         string `json:"zone"`
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Attempt      string `json:"attempt"`
}

type wireLookup struct {
	Zone         string `json:"zone"`
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
}

type wireSession struct {
	Zone         string `json:"zone"`
	Organisation string `json:"organisation"`
}

type wirePermit struct {
	Zone         string        `json:"zone"`
	Organisation string        `json:"organisation"`
	Key          string        `json:"key"`
	Attempt      string        `json:"attempt"`
	Service      string        `json:"service"`
	Epoch        uint64        `json:"epoch"`
	View         uint64        `json:"view"`
	Lifetime     time.Duration `json:"lifetime-nanoseconds"`
}

type wireReply struct {
	Outcome recorder.Outcome  `json:"outcome"`
	Permit  wirePermit        `json:"permit,omitzero"`
	Answer  recorder.Response `json:"answer,omitzero"`
	View    recorder.View     `json:"view"`
	Session string            `json:"session,omitempty"`
	Expires time.Time         `json:"expires,omitzero"`
	Hint    string            `json:"hint,omitempty"`
	Retry   time.Duration     `json:"retry-nanoseconds,omitempty"`
}

func encodeReply(reply recorder.Reply) wireReply {
	return wireReply{
		Outcome: reply.Outcome, Permit: wirePermit(reply.Permit), Answer: reply.Answer, View: reply.View,
		Session: reply.Session, Expires: reply.Expires, Hint: reply.Hint, Retry: reply.Retry,
	}
}

func (w wireReply) decode() recorder.Reply {
	return recorder.Reply{
		Outcome: w.Outcome, Permit: recorder.Permit(w.Permit), Answer: w.Answer, View: w.View,
		Session: w.Session, Expires: w.Expires, Hint: w.Hint, Retry: w.Retry,
	}
}
