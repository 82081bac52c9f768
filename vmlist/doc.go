// Command vmlist simulates the platform API of one availability zone: its VM list, which is served with a delay, and
// its rate-limited weight store.
package main
