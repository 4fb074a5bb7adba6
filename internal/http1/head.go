package http1

import (
	"bytes"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// headCollector collects the bytes of a message's head until its end.
type headCollector struct {
	part      []byte // of the head, from earlier calls of add
	lineStart int    // of the last line, in part
}

// add adds bytes up to the end of the head. It returns the number of them that belong to the
// head, and the head once it is complete, which is valid as long as p is.
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
			*c = headCollector{} // frees the buffer of a long head while the connection is idle
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

// add adds a field of the header. It returns whether the field determines where the message ends.
func (f *framing) add(name, value []byte) (bool, error) {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		return true, f.addLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return true, f.addCoding(value)
	case bytes.EqualFold(name, []byte("Expect")):
		f.expectsContinue = true
	}
	return false, nil
}

// maxLengthBits limits the length of a body.
const maxLengthBits = 48

// addLength adds a Content-Length. Repeated fields must have the same value.
func (f *framing) addLength(value []byte) error {
	length, err := strconv.ParseUint(string(value), 10, maxLengthBits)
	if err != nil {
		return invalid("%.40q is not a content length", value)
	}
	if f.length >= 0 && f.length != int64(length) {
		return invalid("the content lengths %d and %d differ", f.length, length)
	}
	f.length = int64(length)
	return nil
}

// addCoding adds a Transfer-Encoding. The only supported coding is chunked.
func (f *framing) addCoding(value []byte) error {
	if f.chunked || !bytes.EqualFold(value, []byte("chunked")) {
		return invalid("the transfer coding %.40q is not supported", value)
	}
	f.chunked = true
	return nil
}

// check returns an error if the fields contradict each other or version 1.minor. Recipients interpret
// such messages differently (RFC 9112, section 6.1).
func (f *framing) check(minor int) error {
	switch {
	case f.chunked && f.length >= 0:
		return invalid("the response has a content length and a transfer coding")
	case f.chunked && minor == 0:
		return invalid("a response of HTTP/1.0 has a transfer coding")
	}
	return nil
}

// parseFields parses the field lines of a head (RFC 9112, section 5). Folded lines are allowed, since
// net/http joins them.
func parseFields(lines []byte) (framing, error) {
	f := framing{length: -1}
	mayFold := false // the next line may continue the value of the field before it
	for {
		var line []byte
		line, lines = nextLine(lines)
		if len(line) == 0 {
			return f, nil
		}
		var err error
		if mayFold && isFolded(line) {
			err = checkValue(line)
		} else {
			mayFold, err = f.addLine(line)
		}
		if err != nil {
			return framing{}, err
		}
	}
}

// isFolded reports whether a line continues the value of the field before it.
func isFolded(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

// addLine adds the field of a line. mayFold is false for the fields of framing, whose values must not
// continue on the next line.
func (f *framing) addLine(line []byte) (mayFold bool, err error) {
	name, value, err := parseField(line)
	if err != nil {
		return false, err
	}
	determines, err := f.add(name, value)
	return !determines, err
}

// parseField parses a field line. It rejects white space around the name, with which some recipients
// ignore the field and others don't.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, invalid("%.40q is not a field name", name)
	}
	return name, bytes.Trim(value, " \t"), checkValue(value)
}

func checkValue(value []byte) error {
	if !isText(value) {
		return invalid("the field value %.40q has a control character", value)
	}
	return nil
}

// isToken reports whether text is a token (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, c := range text {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(text) > 0
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether text has no control character other than a tab.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
