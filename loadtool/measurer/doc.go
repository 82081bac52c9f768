// Package measurer drives the routing, admission and limit packages in virtual time with small models of runners,
// and compares them with baselines in the same run.
package measurer
