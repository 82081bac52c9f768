// Package parser reads, checks and compares environment documents.
package parser
