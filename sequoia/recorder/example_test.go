package recorder_test

import (
	"fmt"
	"time"

	"sequoiaspread.example/sequoia/recorder"
)

// The program performs the effects of each step in order. The member is the only one in its view.
func Example() {
	member := recorder.New(recorder.Config{MemberID: "akl-a-1#1", Zone: "akl-a", Initial: true})
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	perform := func(effects []recorder.Effect) {
		for _, effect := range effects {
			switch e := effect.(type) {
			case recorder.Persist:
				fmt.Println("sync", len(e.Entries), "entries")
			case recorder.Respond:
				fmt.Printf("reply %s %q\n", e.Reply.Outcome, e.Reply.Answer.Body)
			}
		}
	}
	view := recorder.View{Zone: "akl-a", Number: 1, Epoch: 1, Primary: "akl-a-1#1", Members: []string{"akl-a-1#1"}}
	perform(member.Step(now, recorder.Install{View: view}))
	begin := recorder.Begin{Zone: "akl-a", Organisation: "guild", Key: "pulley-7", Service: "partsdesk", Attempt: "1"}
	perform(member.Step(now, recorder.Call{Token: 1, Request: begin}))
	finish := recorder.Finish{
		Zone: "akl-a", Organisation: "guild", Key: "pulley-7", Attempt: "1",
		Result: recorder.ResultAnswered, Answer: recorder.Response{Status: 201, Body: []byte("reserved")},
	}
	perform(member.Step(now, recorder.Call{Token: 2, Request: finish}))
	begin.Attempt = "2"
	perform(member.Step(now, recorder.Call{Token: 3, Request: begin}))
	// Output:
	// sync 0 entries
	// sync 1 entries
	// reply granted ""
	// sync 1 entries
	// reply done ""
	// reply replay "reserved"
}
