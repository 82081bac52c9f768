// Package allotter bounds the memory that one process spends on the bodies of all requests and responses together, and on
// connections and header blocks.
//
// The size of each body is limited, but not their number: many at once, as from one faulty upstream that answers without
// end, would end the process and with it the requests of everyone else. Large bodies leave a part of the memory to small
// ones, and no caller or upstream gets more than a share.
//
// While the process waits for a caller, its reservations are reclaimable: when others lack memory, those that transfer
// bytes most slowly lose theirs, so that callers that stall don't keep it from those that don't.
package allotter
