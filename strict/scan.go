package strict

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLineStart is the number of bytes of a line that are kept. A status code and the
// name of the one field that is looked for are in them.
const maxLineStart = 32

var (
	errFolded = errors.New("a line in the head of the response begins with white space")
	errCoding = errors.New("a response of HTTP/1.0 has a transfer coding")
)

// headScanner finds what can't be told from a head that net/http has parsed, in the
// head of a response and in those of the interim responses before it:
//
//   - lines that begin with white space, which net/http joins to the value before them.
//     RFC 9112, section 5.2, lets a gateway reject them.
//   - transfer codings of HTTP/1.0, which net/http ignores. The framing of the body is
//     not known then, see section 6.1.
type headScanner struct {
	isOver    bool   // the final head has been read
	isField   bool   // the current line follows the status line
	isInterim bool   // by the status line
	isOld     bool   // of HTTP/1.0, by the status line
	length    int    // of the current line so far
	lineStart []byte // the first bytes of the current line
}

// scan reads the next bytes of the response.
func (s *headScanner) scan(b []byte) error {
	for len(b) > 0 && !s.isOver {
		text, rest, isWhole := bytes.Cut(b, []byte{'\n'})
		s.length += len(text)
		s.lineStart = append(s.lineStart, text[:min(len(text), maxLineStart-len(s.lineStart))]...)
		if s.isField && s.length > 0 && (s.lineStart[0] == ' ' || s.lineStart[0] == '\t') {
			return errFolded
		}
		if isWhole {
			if err := s.endLine(); err != nil {
				return err
			}
		}
		b = rest
	}
	return nil
}

// endLine ends the current line.
func (s *headScanner) endLine() error {
	isEmpty := s.length == 0 || s.length == 1 && s.lineStart[0] == '\r'
	switch {
	case !s.isField:
		s.readStatusLine()
	case isEmpty:
		*s = headScanner{isOver: !s.isInterim}
		return nil
	case s.isOld && s.hasName("transfer-encoding"):
		return errCoding
	}
	s.isField, s.length, s.lineStart = true, 0, s.lineStart[:0]
	return nil
}

func (s *headScanner) readStatusLine() {
	protocol, status, _ := strings.Cut(string(s.lineStart), " ")
	code, _, _ := strings.Cut(strings.TrimSpace(status), " ")
	n, err := strconv.Atoi(code)
	s.isInterim = err == nil && isInterimStatus(n)
	s.isOld = protocol == "HTTP/1.0"
}

// hasName reports whether the current line is a field with a name in lower case.
func (s *headScanner) hasName(name string) bool {
	got, _, ok := strings.Cut(string(s.lineStart), ":")
	return ok && strings.EqualFold(got, name)
}
