package verify

import (
	"encoding/json"
	"errors"
	"io"
)

// errNoValue reports an input without a JSON value, for example the output of a command
// that printed nothing.
var errNoValue = errors.New("no JSON value")

// WriteCanonical copies the JSON values of in to out in a form that depends on the values
// only: keys in alphabetical order, one form of white space, numbers as they were written.
func WriteCanonical(out io.Writer, in io.Reader) error {
	d := json.NewDecoder(in)
	d.UseNumber()
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	for n := 0; ; n++ {
		var v any
		switch err := d.Decode(&v); {
		case errors.Is(err, io.EOF) && n > 0:
			return nil
		case errors.Is(err, io.EOF):
			return errNoValue
		case err != nil:
			return err
		}
		if err := e.Encode(v); err != nil {
			return err
		}
	}
}
