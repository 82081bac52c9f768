// Command loadtool tests deployments under load and faults. It starts a deployment on loopback addresses, sends a mixed
// load to a deployment, runs the fault matrix of all modules, and compares routing and admission policies in a
// simulation.
package main
