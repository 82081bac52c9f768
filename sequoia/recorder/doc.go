// Package recorder decides, for one member of an availability zone's record group, which calls of
// a non-idempotent operation may be sent to an upstream, so that each key runs at most once.
//
// A Recorder is a pure state machine: Step and Tick take the time and a typed message and return
// typed effects. The embedding program performs the effects in order. All Persist effects of a step
// must be synced before any other effect of that step is performed; when a Persist fails, the
// program must stop serving and exit without performing the rest.
package recorder
