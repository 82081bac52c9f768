package main

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

var errEventTooLarge = errors.New("the event exceeds the size limit")

const (
	eventBufferBytes = 4 << 10
	doneMarker       = "[DONE]"
)

// event is one server-sent event. The ID is 0 if the upstream sends none or one that isn't a number.
type event struct {
	id   uint64
	name string
	data []byte
}

func (e event) isDone() bool {
	return string(e.data) == doneMarker
}

// eventReader reads server-sent events. An event that isn't terminated by a blank line is not returned.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	return &eventReader{scanner: scanner}
}

// next returns the next event with data. It returns io.EOF when the stream ends, whether between events or within one.
func (r *eventReader) next() (event, error) {
	var current event
	size := 0
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		size += len(line) + 1
		if size > maxEventBytes {
			return event{}, errEventTooLarge
		}
		if len(line) > 0 {
			current.parseLine(line)
			continue
		}
		if current.data != nil {
			return current, nil
		}
		current = event{}
	}
	if err := r.scanner.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.EOF
}

func (e *event) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if e.data != nil {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		if e.data == nil {
			e.data = []byte{}
		}
	case "id":
		e.id, _ = strconv.ParseUint(string(value), 10, 64)
	case "event":
		e.name = string(value)
	default:
	}
}

// appendEvent appends an event in the wire format, with one data field for each line of the data.
func appendEvent(buffer []byte, id uint64, name string, data []byte) []byte {
	if id > 0 {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendUint(buffer, id, 10)
		buffer = append(buffer, '\n')
	}
	if name != "" {
		buffer = append(buffer, "event: "+name+"\n"...)
	}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		buffer = append(buffer, "data: "...)
		buffer = append(buffer, line...)
		buffer = append(buffer, '\n')
	}
	return append(buffer, '\n')
}
