package strict

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxStatusLine is the number of bytes of a status line that are kept to find its
// status code.
const maxStatusLine = 32

var errFolded = errors.New("a line in the head of the response begins with white space")

// headScanner finds lines that begin with white space in the head of a response and in
// those of the interim responses before it. net/http joins such a line to the value
// before it, so it can't be told from the parsed head. RFC 9112, section 5.2, lets a
// gateway reject it.
type headScanner struct {
	isOver     bool   // the final head has been read
	statusLine []byte // its first bytes
	isField    bool   // the current line follows the status line
	length     int    // of the current line so far
	first      byte   // of the current line
}

// scan reads the next bytes of the response.
func (s *headScanner) scan(b []byte) error {
	for len(b) > 0 && !s.isOver {
		if s.length == 0 {
			s.first = b[0]
		}
		if s.isField && (s.first == ' ' || s.first == '\t') {
			return errFolded
		}
		text, rest, isWhole := bytes.Cut(b, []byte{'\n'})
		if n := min(len(text), maxStatusLine-len(s.statusLine)); !s.isField {
			s.statusLine = append(s.statusLine, text[:n]...)
		}
		s.length += len(text)
		if isWhole {
			s.endLine()
		}
		b = rest
	}
	return nil
}

// endLine ends the current line.
func (s *headScanner) endLine() {
	isEmpty := s.length == 0 || s.length == 1 && s.first == '\r'
	switch {
	case s.isField && isEmpty && isInterim(s.statusLine):
		*s = headScanner{}
	case s.isField && isEmpty:
		*s = headScanner{isOver: true}
	default:
		s.isField, s.length = true, 0
	}
}

// isInterim reports whether a status line is that of an interim response, after which
// another head follows.
func isInterim(statusLine []byte) bool {
	_, status, _ := strings.Cut(string(statusLine), " ")
	code, _, _ := strings.Cut(strings.TrimSpace(status), " ")
	n, err := strconv.Atoi(code)
	return err == nil && isInterimStatus(n)
}
