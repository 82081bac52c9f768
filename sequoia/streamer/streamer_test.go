package streamer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newChunk(attempt, id uint64) Chunk {
	return Chunk{Attempt: attempt, ID: id, Data: fmt.Appendf(nil, "t%d", id)}
}

func stepAll(s *Streamer, messages ...Message) []Effect {
	var effects []Effect
	for _, message := range messages {
		effects = append(effects, s.Step(message)...)
	}
	return effects
}

// Guards against gaps, repeated chunks and chunks of other attempts at each step of an answer.
func TestMatrix(t *testing.T) {
	one := Deliver{Position: 1, Data: []byte("t1")}
	two := Deliver{Position: 2, Data: []byte("t2")}
	cases := []struct {
		name     string
		resumes  bool
		messages []Message
		want     []Effect
	}{
		{"first-chunk/late-attempt", true, []Message{Started{1}, Started{2}, newChunk(1, 1), newChunk(2, 1), Ended{1}, Ended{2}}, []Effect{Cancel{1}, one, Finish{}}},
		{"first-chunk/broken", false, []Message{Started{1}, Broken{1}, newChunk(1, 1), Started{2}, newChunk(2, 1)}, []Effect{Cancel{1}, Restart{}, one}},
		{"first-chunk/gap", true, []Message{Started{1}, newChunk(1, 2)}, []Effect{Cancel{1}, Restart{}}},
		{"mid-stream/broken", true, []Message{Started{1}, newChunk(1, 1), Broken{1}, Started{2}, newChunk(2, 1), newChunk(2, 2), Ended{2}}, []Effect{one, Cancel{1}, Resume{1}, two, Finish{}}},
		{"mid-stream/gap", true, []Message{Started{1}, newChunk(1, 1), newChunk(1, 3)}, []Effect{one, Cancel{1}, Resume{1}}},
		{"mid-stream/gap-no-resume", false, []Message{Started{1}, newChunk(1, 1), newChunk(1, 3), newChunk(1, 2)}, []Effect{one, Cancel{1}, Fail{FailGap}}},
		{"mid-stream/repeat", true, []Message{Started{1}, newChunk(1, 1), newChunk(1, 1), newChunk(1, 2)}, []Effect{one, two}},
		{"mid-stream/truncated-no-resume", false, []Message{Started{1}, newChunk(1, 1), Broken{1}, Ended{1}}, []Effect{one, Cancel{1}, Fail{FailTruncated}}},
		{"mid-stream/ids-stop", true, []Message{Started{1}, newChunk(1, 1), Chunk{Attempt: 1}}, []Effect{one, Cancel{1}, Resume{1}}},
		{"end/late-chunk", true, []Message{Started{1}, Ended{1}, newChunk(1, 1), Broken{1}}, []Effect{Finish{}}},
		{"start/caller-gone", true, []Message{CallerCancelled{}, Started{1}, newChunk(1, 1)}, []Effect{Cancel{1}}},
		{"mid-stream/caller-gone", true, []Message{Started{1}, newChunk(1, 1), CallerCancelled{}, newChunk(1, 2), Ended{1}}, []Effect{one, Cancel{1}}},
		{"between-attempts/caller-gone", true, []Message{Started{1}, newChunk(1, 1), Broken{1}, CallerCancelled{}, Started{2}}, []Effect{one, Cancel{1}, Resume{1}, Cancel{2}}},
	}
	for _, c := range cases {
		t.Run("whole-answer/"+c.name, func(t *testing.T) {
			assert.DeepEqual(t, stepAll(New(Config{Resumable: c.resumes}), c.messages...), c.want)
		})
	}
}

// Guards against an order of faults in which the delivered chunks are not a prefix of the answer, or a partial answer
// ends as complete.
func TestDeliveriesAreAPrefix(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := New(Config{Resumable: rapid.Bool().Draw(r, "resumes")})
		var delivered uint64
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			attempt := rapid.Uint64Range(1, 3).Draw(r, "attempt")
			messages := []Message{Started{attempt}, newChunk(attempt, rapid.Uint64Range(0, 6).Draw(r, "id")), Broken{attempt}, CallerCancelled{}}
			for _, effect := range s.Step(rapid.SampledFrom(messages).Draw(r, "message")) {
				if d, ok := effect.(Deliver); ok {
					delivered++
					assert.Equal(r, d.Position, delivered)
				}
			}
		}
		assert.Equal(r, s.Position(), delivered)
	})
}

func Example() {
	s := New(Config{Resumable: true})
	messages := []Message{Started{Attempt: 1}, Chunk{Attempt: 1, ID: 1, Data: []byte("Hello")}, Broken{Attempt: 1}}
	for _, effect := range stepAll(s, messages...) {
		fmt.Printf("%T\n", effect)
	}
	// Output:
	// streamer.Deliver
	// streamer.Cancel
	// streamer.Resume
}
