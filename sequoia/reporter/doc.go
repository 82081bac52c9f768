// Package reporter counts requests that met their service level and reports how fast the error budget is used up.
package reporter
