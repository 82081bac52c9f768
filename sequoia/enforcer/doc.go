// Package enforcer holds the highest document version that one process has in force; the version never decreases.
package enforcer
