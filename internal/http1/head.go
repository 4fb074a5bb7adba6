package http1

import (
	"bytes"
	"strconv"
)

// headCollector collects the bytes of a message's head until its end.
type headCollector struct {
	part      []byte // of the head, from earlier calls of add
	lineStart int    // of the last line, in part
}

// add adds bytes up to the end of the head. It returns the number of them that belong to the
// head, and the head once it is whole, which is valid until the next call.
func (c *headCollector) add(p []byte) (used int, head []byte) {
	all := p
	if len(c.part) > 0 {
		all = append(c.part, p...)
	}
	start := c.lineStart
	for {
		length := bytes.IndexByte(all[start:], '\n')
		if length < 0 {
			break
		}
		empty := len(trimCR(all[start:start+length])) == 0
		start += length + 1
		if empty {
			used = start - len(c.part)
			c.part, c.lineStart = c.part[:0], 0
			return used, all[:start]
		}
	}
	c.part, c.lineStart = append(c.part, p...), start
	return len(p), nil
}

func trimCR(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

// nextLine returns the first line of text without its end, and the rest.
func nextLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte("\n"))
	return trimCR(line), rest
}

// framing holds the fields of a header that determine where a message ends.
type framing struct {
	chunked         bool
	length          int64 // of the body in bytes; -1 if not stated
	expectsContinue bool
}

// add adds a field of the header.
func (f *framing) add(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return invalid("%q is no length", value)
		}
		f.length = length
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.chunked = true
	case bytes.EqualFold(name, []byte("Expect")):
		f.expectsContinue = true
	}
	return nil
}

// parseFields parses the lines of a header, without the first line of the message.
func parseFields(lines []byte) (framing, error) {
	f := framing{length: -1}
	for line, rest := nextLine(lines); len(line) > 0; line, rest = nextLine(rest) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if err := f.add(name, bytes.Trim(value, " \t")); err != nil {
			return framing{}, err
		}
	}
	return f, nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether text holds no control byte other than a tab.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
