// Command runner simulates a model engine with an OpenAI-compatible interface: continuous batching, a prefix cache with
// cache events, model loading, and faults that can be switched on.
package main
