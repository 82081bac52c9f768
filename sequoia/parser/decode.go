package parser

import (
	"bytes"
	"errors"
	"os"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

const (
	// maxDocumentBytes limits the memory used by a malicious document.
	maxDocumentBytes = 4 << 20
	// maxValueFaults limits the number of decoding passes, each of which finds one invalid value.
	maxValueFaults = 100
)

// ParseFile parses and validates the document in a file. The error lists all faults.
func ParseFile(path string) (*Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "read document", Kind: KindInvalid, cause: eris.Wrap(err, "read file")}
	}
	return Parse(path, text)
}

// Parse parses and validates a document. The error lists all faults, with file as their file name.
func Parse(file string, text []byte) (*Document, error) {
	if len(text) > maxDocumentBytes {
		return nil, newError("parse document", KindInvalid, "document is larger than 4 MiB")
	}
	if !utf8.Valid(text) {
		return nil, newError("parse document", KindSyntax, "document is not valid UTF-8")
	}
	doc := &Document{}
	faults, complete := decode(file, text, doc)
	if complete {
		faults = append(faults, check(file, doc, findPositions(text))...)
	}
	if len(faults) > 0 {
		return nil, &Error{Op: "parse document", Kind: KindInvalid, Faults: sortFaults(faults), cause: eris.New("document has faults")}
	}
	return doc, nil
}

// decode decodes the document and collects the faults of its keys and values. The decoder stops at the first invalid
// value, so the line of that value is blanked and decoding is repeated. It returns false if the syntax is invalid.
func decode(file string, text []byte, doc *Document) ([]Fault, bool) {
	var faults []Fault
	text = bytes.Clone(text)
	for range maxValueFaults {
		*doc = Document{}
		decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
		err := decoder.Decode(doc)
		if err == nil {
			return faults, true
		}
		var strictErr *toml.StrictMissingError
		if errors.As(err, &strictErr) {
			return append(faults, unknownKeys(file, strictErr)...), true
		}
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			return append(faults, Fault{File: file, Line: 1, Kind: KindSyntax, Cause: err.Error()}), false
		}
		row, _ := decodeErr.Position()
		fault := Fault{File: file, Line: row, Key: strings.Join(decodeErr.Key(), "."), Kind: KindValue, Cause: decodeErr.Error()}
		if fault.Key == "" {
			fault.Kind = KindSyntax
			return append(faults, fault), false
		}
		faults = append(faults, fault)
		if !blankLine(text, row) {
			return faults, false
		}
	}
	return faults, false
}

func unknownKeys(file string, strictErr *toml.StrictMissingError) []Fault {
	var faults []Fault
	for _, keyErr := range strictErr.Errors {
		row, _ := keyErr.Position()
		key := keyErr.Key()
		faults = append(faults, Fault{
			File: file, Line: row, Key: strings.Join(key, "."), Kind: KindUnknown,
			Cause: "unknown key", Valid: strings.Join(siblingKeys(key), ", "),
		})
	}
	return faults
}

// siblingKeys returns the keys that are valid in place of the last part of a key path.
func siblingKeys(key []string) []string {
	current := reflect.TypeFor[Document]()
	for _, part := range key[:max(0, len(key)-1)] {
		field, ok := fieldByKey(current, part)
		if !ok {
			return nil
		}
		current = field
		if current.Kind() == reflect.Slice {
			current = current.Elem()
		}
	}
	if current.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range current.NumField() {
		if tag := current.Field(i).Tag.Get("toml"); tag != "" {
			keys = append(keys, tag)
		}
	}
	return keys
}

func fieldByKey(parent reflect.Type, key string) (reflect.Type, bool) {
	if parent.Kind() != reflect.Struct {
		return nil, false
	}
	for i := range parent.NumField() {
		if parent.Field(i).Tag.Get("toml") == key {
			return parent.Field(i).Type, true
		}
	}
	return nil, false
}

// blankLine overwrites a line with spaces and reports whether that changed it.
func blankLine(text []byte, row int) bool {
	start := 0
	for range row - 1 {
		next := bytes.IndexByte(text[start:], '\n')
		if next < 0 {
			return false
		}
		start += next + 1
	}
	changed := false
	for i := start; i < len(text) && text[i] != '\n'; i++ {
		changed = changed || text[i] != ' '
		text[i] = ' '
	}
	return changed
}
