package intake

// lineBytes is the memory that a line of a head takes beside its text: entries of a map and of a
// slice, with the space that they leave unused while they grow, in net/http and in the copy for the
// upstream.
const lineBytes = 128

// headSize measures a head while it is read.
type headSize struct {
	bytes, lines int
	lineLength   int  // of the current line, without the line end
	begun        bool // a line that is not empty was read
	ended        bool
}

// add measures a part of what a caller sends. What follows the empty line after the head is left
// out.
func (h *headSize) add(part []byte) {
	for _, b := range part {
		if h.ended {
			return
		}
		h.bytes++
		switch b {
		case '\r':
		case '\n':
			h.ended = h.begun && h.lineLength == 0
			h.begun = h.begun || h.lineLength > 0
			h.lines++
			h.lineLength = 0
		default:
			h.lineLength++
		}
	}
}

// cost returns the memory in bytes that the head takes once it is parsed.
func (h *headSize) cost() int { return 2*h.bytes + lineBytes*h.lines }
