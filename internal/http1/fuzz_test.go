package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// scanned is the result of scanning a text.
type scanned struct {
	accepted int // bytes that belong to the response; only if it is valid
	valid    bool
	whole    bool
}

func scanInPieces(text []byte, pieceBytes int) scanned {
	var s responseScanner
	n := 0
	for n < len(text) {
		piece := text[n:min(len(text), n+pieceBytes)]
		used, err := s.scan(piece)
		if err != nil {
			return scanned{}
		}
		n += used
		if used < len(piece) {
			break // the rest is surplus
		}
	}
	return scanned{n, true, s.whole()}
}

// FuzzResponse checks that the result of a scan does not depend on how the input is split, and that
// net/http reads a complete response to the same end.
func FuzzResponse(f *testing.F) {
	for _, sound := range soundResponses {
		f.Add([]byte(sound.text), uint8(inSmallPieces))
		f.Add([]byte(sound.text+"surplus"), uint8(0))
	}
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2\r\n\r\nx", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello", "\r\n\r\n",
	} {
		f.Add([]byte(text), uint8(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, pieceBytes uint8) {
		got := scanInPieces(text, len(text)+1)
		if other := scanInPieces(text, int(pieceBytes)+1); other != got {
			t.Fatalf("%+v in one piece, %+v in pieces of %d bytes", got, other, int(pieceBytes)+1)
		}
		if got.whole {
			checkWithNetHTTP(t, text[:got.accepted])
		}
	})
}

// checkWithNetHTTP fails unless net/http reads the text as one complete response, after interim ones.
func checkWithNetHTTP(t *testing.T, text []byte) {
	reader := bufio.NewReaderSize(bytes.NewReader(text), len(text)+16)
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			t.Fatalf("net/http doesn't read the response: %v", err)
		}
		if isInterim(response.StatusCode) {
			continue
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatalf("net/http doesn't read the body: %v", err)
		}
		if reader.Buffered() > 0 {
			t.Fatalf("net/http leaves %d bytes", reader.Buffered())
		}
		return
	}
}
