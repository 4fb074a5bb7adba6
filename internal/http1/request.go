package http1

import "bytes"

// requestScanner tracks how much of a request net/http has written. It relies on valid input.
type requestScanner struct {
	head      headCollector
	begun     bool
	isHEAD    bool // its response has no body
	headWhole bool
	expects   bool // the request has "Expect: 100-continue"
	body      bodyScanner
}

// scan adds bytes that are about to be written.
func (s *requestScanner) scan(p []byte) {
	if !s.begun {
		s.begun, s.isHEAD = true, bytes.HasPrefix(p, []byte("HEAD "))
	}
	if !s.headWhole {
		used, head := s.head.add(p)
		p = p[used:]
		if head == nil {
			return
		}
		s.endHead(head)
	}
	_, _ = s.body.scan(p) // net/http writes valid bodies
}

func (s *requestScanner) endHead(head []byte) {
	s.headWhole = true
	_, lines := nextLine(head)
	fields, _ := parseFields(lines)
	s.expects = fields.expectsContinue
	s.body = sizedBody(max(0, fields.length))
	if fields.chunked {
		s.body = chunkedBody()
	}
}

// whole reports whether all of the request was passed to scan.
func (s *requestScanner) whole() bool { return s.headWhole && s.body.whole }

// withheld reports whether the body waits for "100 Continue".
func (s *requestScanner) withheld() bool { return s.headWhole && s.expects && !s.body.begun }

// reset prepares for the next request on the connection.
func (s *requestScanner) reset() { *s = requestScanner{} }
