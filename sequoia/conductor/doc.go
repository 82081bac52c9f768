// Package conductor runs the process of an entry VM: its listeners, its reports to the coordinators, and its planned
// stop, in which callers are told to go elsewhere before the last request ends.
package conductor
