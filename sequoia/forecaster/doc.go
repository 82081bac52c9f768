// Package forecaster predicts demand by time of day and says how many upstreams each pool needs before a peak arrives.
package forecaster
