// Package forecaster predicts demand by time of day and computes how many upstreams each pool needs, ahead of a peak.
package forecaster
