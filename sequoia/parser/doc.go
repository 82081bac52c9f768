// Package parser parses, validates and compares environment documents.
package parser
