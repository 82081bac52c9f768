package acceptor

import "bytes"

// headerScanner counts the bytes and lines of a header block up to the blank line that ends it. Blank lines before the
// request line do not end it, because net/http skips some of them.
type headerScanner struct {
	bytes, lines int64
	// lineBytes is the length of the unfinished line, and endsInCR tells whether its last byte is a carriage return.
	lineBytes int
	endsInCR  bool
	// started is set by the first line that is not blank.
	started bool
}

// scan counts the next bytes of the block and reports whether it has ended. Bytes after the end are not counted.
func (s *headerScanner) scan(data []byte) bool {
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			s.extendLine(data)
			s.bytes += int64(len(data))
			return false
		}
		s.extendLine(data[:end])
		s.bytes += int64(end) + 1
		s.lines++
		blank := s.lineBytes == 0 || s.lineBytes == 1 && s.endsInCR
		s.lineBytes = 0
		if blank && s.started {
			return true
		}
		s.started = s.started || !blank
		data = data[end+1:]
	}
	return false
}

func (s *headerScanner) extendLine(part []byte) {
	if len(part) > 0 {
		s.lineBytes += len(part)
		s.endsInCR = part[len(part)-1] == '\r'
	}
}
