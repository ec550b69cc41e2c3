package backend

import (
	"bytes"
	"io"
)

// unsolicited is the beginning of the net/http log message about data that belongs to no
// request. The data follows it in the message.
const unsolicited = "Unsolicited response received on idle HTTP channel"

// RedactLog returns a writer for the standard logger that removes payload from the log
// messages of net/http. The daemon installs it with log.SetOutput, because net/http offers
// no other way to keep the data of a backend server out of the log.
func RedactLog(w io.Writer) io.Writer { return redactor{w} }

type redactor struct{ w io.Writer }

// Write implements io.Writer for one line per call, as package log does.
func (r redactor) Write(line []byte) (int, error) {
	if i := bytes.Index(line, []byte(unsolicited)); i >= 0 {
		short := append(bytes.Clone(line[:i+len(unsolicited)]), '\n')
		if _, err := r.w.Write(short); err != nil {
			return 0, err
		}
		return len(line), nil
	}
	return r.w.Write(line)
}
