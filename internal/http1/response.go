package http1

import (
	"bytes"
	"net/http"
)

// responseScanner finds the end of the response to one request.
type responseScanner struct {
	toHEAD    bool // the request has the method HEAD
	head      headCollector
	begun     bool // at least one byte was received
	headWhole bool
	continued bool // the peer has asked for the rest of the request
	body      bodyScanner
}

// scan returns how many of the received bytes belong to the response. It must not be called again
// after an error.
func (s *responseScanner) scan(p []byte) (int, error) {
	n := 0
	for n < len(p) && !s.whole() {
		s.begun = true
		used, err := s.scanPart(p[n:])
		if err != nil {
			return n, err
		}
		n += used
	}
	return n, nil
}

// scanPart scans the rest of a head, or of the body.
func (s *responseScanner) scanPart(p []byte) (int, error) {
	if s.headWhole {
		return s.body.scan(p)
	}
	used, head := s.head.add(p)
	if head == nil {
		return used, nil
	}
	return used, s.endHead(head)
}

// endHead interprets the head of a response.
func (s *responseScanner) endHead(head []byte) error {
	line, lines := nextLine(head)
	minor, status, err := parseStatusLine(line)
	if err != nil {
		return err
	}
	fields, err := parseFields(lines)
	if err != nil {
		return err
	}
	if err := fields.check(minor); err != nil {
		return err
	}
	if isInterim(status) {
		s.continued = s.continued || status == http.StatusContinue
		return nil
	}
	s.headWhole, s.body = true, s.bodyAfter(status, fields)
	return nil
}

// isInterim reports whether another response to the same request follows.
func isInterim(status int) bool { return status < http.StatusOK }

// bodyAfter returns the body after a head (RFC 9112, section 6.3).
func (s *responseScanner) bodyAfter(status int, fields framing) bodyScanner {
	switch {
	case s.toHEAD, status == http.StatusNoContent, status == http.StatusNotModified:
		return sizedBody(0)
	case fields.chunked:
		return chunkedBody()
	case fields.length >= 0:
		return sizedBody(fields.length)
	}
	return sizedBody(untilClose)
}

// parseStatusLine returns the minor version 1.x and the status of a status line (RFC 9112, section
// 4). The space before an empty reason may be missing, since many servers omit it.
func parseStatusLine(line []byte) (minor, status int, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	digit, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(digit) != 1 || !isDigit(digit[0]) {
		return 0, 0, invalid("%.40q is not a supported version", version)
	}
	if !isText(reason) {
		return 0, 0, invalid("the reason %.40q has a control character", reason)
	}
	status, err = parseStatus(code)
	return int(digit[0] - '0'), status, err
}

// maxStatus is the largest status code (RFC 9110, section 15).
const maxStatus = 599

// parseStatus parses a status code. It rejects 101 (Switching Protocols), since no client requests an
// upgrade.
func parseStatus(code []byte) (int, error) {
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, invalid("%.40q is not a status code", code)
	}
	status := int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return 0, invalid("status code %d is not valid in a response", status)
	}
	return status, nil
}

func (s *responseScanner) whole() bool { return s.headWhole && s.body.whole }

// endsWithConnection reports whether the body is delimited by the end of the connection.
func (s *responseScanner) endsWithConnection() bool {
	return s.headWhole && !s.body.chunked && s.body.left == untilClose
}

// reset prepares for the response to the next request on the connection.
func (s *responseScanner) reset() { *s = responseScanner{} }
