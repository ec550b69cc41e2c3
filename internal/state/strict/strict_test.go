package strict

import (
	"strings"
	"testing"
)

type sample struct {
	Name  string `toml:"name"`
	Count int    `toml:"count"`
	Items []item `toml:"item"`
}

type item struct {
	Tags   []string          `toml:"tags"`
	Labels map[string]string `toml:"labels"`
	On     bool              `toml:"on"`
	Share  float64           `toml:"share"`
}

// Guards against a report of only the first problem and against wrong lines in arrays of
// tables, multi-line arrays, inline tables and sub-tables.
func TestDecodeReportsEveryProblemWithItsLine(t *testing.T) {
	text := `name = 7
count = "x"
nme = "a"

[[item]]
tags = [
  "a",
  3,
]
on = "yes"

[[item]]
labels = { a = "x", "b.c" = 4 }
share = "half"
[item.extra]
deep = 1
`
	var s sample
	_, problems := Decode([]byte(text), &s)
	want := []string{
		`line 1: name: wrong type; found 7; allowed: a string`,
		`line 2: count: wrong type; found "x"; allowed: an integer`,
		`line 3: nme: unknown key; allowed: count, item, name`,
		`line 8: item[0].tags[1]: wrong type; found 3; allowed: a string`,
		`line 10: item[0].on: wrong type; found "yes"; allowed: true or false`,
		`line 13: item[1].labels."b.c": wrong type; found 4; allowed: a string`,
		`line 14: item[1].share: wrong type; found "half"; allowed: a number`,
		`line 15: item[1].extra: unknown key; allowed: labels, on, share, tags`,
	}
	if got := problems.Error(); got != strings.Join(want, "\n") {
		t.Errorf("got:\n%s\nwant:\n%s", got, strings.Join(want, "\n"))
	}
	if s.Items[0].Tags[0] != "a" || s.Items[1].Labels["a"] != "x" {
		t.Errorf("valid values next to invalid ones were not set: %+v", s)
	}
}

// Guards against a syntax error or a duplicate key that is accepted or is reported
// without its line.
func TestDecodeReportsInvalidTOML(t *testing.T) {
	for text, line := range map[string]int{"name = \"a\"\ncount = = 3": 2, "name = \"a\"\n\nname = \"b\"": 3} {
		_, problems := Decode([]byte(text), &sample{})
		if len(problems) != 1 || problems[0].Line != line {
			t.Errorf("%q: got %v, want one problem on line %d", text, problems, line)
		}
	}
}
