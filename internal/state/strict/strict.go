// Package strict decodes TOML documents into structs and reports all problems of a
// document at once, each with its line and key. The decoder of the TOML library stops at
// the first value of a wrong type, so that an operator would have to correct a document
// one error at a time.
package strict

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one reason why a document is invalid.
type Problem struct {
	// Line is the line of the key, counted from 1.
	Line int `json:"line"`
	// Key is the full key, such as "service.route[2].path".
	Key string `json:"key"`
	// Reason describes the problem.
	Reason string `json:"reason"`
	// Found is the value in the document; empty if there is none.
	Found string `json:"found,omitempty"`
	// Allowed describes the accepted values.
	Allowed string `json:"allowed,omitempty"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "line %d: ", p.Line)
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Reason)
	if p.Found != "" {
		b.WriteString("; found " + p.Found)
	}
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	return b.String()
}

// Problems are all problems of a document, ordered by line.
type Problems []Problem

// Error lists the problems, one on each line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the problems by line and key.
func (p Problems) Sort() {
	sort.SliceStable(p, func(i, j int) bool {
		if p[i].Line != p[j].Line {
			return p[i].Line < p[j].Line
		}
		return p[i].Key < p[j].Key
	})
}

// Lines maps the keys that a document sets to their lines.
type Lines map[string]int

// Has reports whether the document sets the key.
func (l Lines) Has(key string) bool { return l[key] > 0 }

// Line returns the line of the key or, if the document does not set it, of the innermost
// table that would contain it. It returns 1 if there is no such table.
func (l Lines) Line(key string) int {
	for key != "" {
		if n := l[key]; n > 0 {
			return n
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// JoinKey appends a part to a key and quotes the part if TOML requires it.
func JoinKey(key, part string) string {
	if !bareKey.MatchString(part) {
		part = strconv.Quote(part)
	}
	if key == "" {
		return part
	}
	return key + "." + part
}

// IndexKey appends an array index to a key.
func IndexKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

// Decode decodes a TOML document into the struct that into points to. Fields whose keys
// are absent keep their values, so that defaults can be set before the call. Values of a
// wrong type and unknown keys are reported; all other values are set, so that they can
// be validated as well.
func Decode(text []byte, into any) (Lines, Problems) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		p := Problem{Line: 1, Reason: "invalid TOML: " + err.Error()}
		var de *toml.DecodeError
		if errors.As(err, &de) {
			p.Line, _ = de.Position()
			p.Key = strings.Join(de.Key(), ".")
			p.Reason = "invalid TOML: " + strings.TrimPrefix(de.Error(), "toml: ")
		}
		return Lines{}, Problems{p}
	}
	d := decoder{lines: keyLines(text)}
	d.table("", tree, reflect.ValueOf(into).Elem())
	d.problems.Sort()
	return d.lines, d.problems
}

// keyLines returns the line of every key of a valid document.
func keyLines(text []byte) Lines {
	lines := Lines{}
	elements := map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	record := func(key string, n *unstable.Node) {
		if _, seen := lines[key]; !seen && n.Raw.Length > 0 {
			lines[key] = p.Shape(n.Raw).Start.Line
		}
	}
	// walk records the parts of a dotted key and returns the whole key. A part that
	// names an array of tables selects its last element.
	walk := func(key string, it unstable.Iterator, appends bool) string {
		for it.Next() {
			n := it.Node()
			key = JoinKey(key, string(n.Data))
			record(key, n)
			if appends && it.IsLast() {
				elements[key]++
			}
			if count := elements[key]; count > 0 {
				key = IndexKey(key, count-1)
				record(key, n)
			}
		}
		return key
	}
	var value func(key string, n *unstable.Node)
	value = func(key string, n *unstable.Node) {
		it := n.Children()
		switch n.Kind {
		case unstable.Array:
			for i := 0; it.Next(); {
				if it.Node().Kind == unstable.Comment {
					continue
				}
				record(IndexKey(key, i), it.Node())
				value(IndexKey(key, i), it.Node())
				i++
			}
		case unstable.InlineTable:
			for it.Next() {
				if kv := it.Node(); kv.Kind == unstable.KeyValue {
					value(walk(key, kv.Key(), false), kv.Value())
				}
			}
		}
	}
	table := ""
	for p.NextExpression() {
		switch e := p.Expression(); e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = walk("", e.Key(), e.Kind == unstable.ArrayTable)
		case unstable.KeyValue:
			value(walk(table, e.Key(), false), e.Value())
		}
	}
	return lines
}

type decoder struct {
	lines    Lines
	problems Problems
}

func (d *decoder) report(key, reason string, found any, allowed string) {
	d.problems = append(d.problems, Problem{
		Line: d.lines.Line(key), Key: key, Reason: reason, Found: FormatValue(found), Allowed: allowed,
	})
}

func (d *decoder) table(key string, tree map[string]any, into reflect.Value) {
	fields := map[string]int{}
	for i := range into.NumField() {
		name, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("toml"), ",")
		fields[name] = i
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for name, v := range tree {
		k := JoinKey(key, name)
		if i, ok := fields[name]; ok {
			d.value(k, v, into.Field(i))
		} else {
			d.report(k, "unknown key", nil, strings.Join(names, ", "))
		}
	}
}

func (d *decoder) value(key string, v any, into reflect.Value) {
	if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s, isString := v.(string)
		if !isString || u.UnmarshalText([]byte(s)) != nil {
			d.report(key, "wrong type", v, `a duration as text, such as "250ms" or "1.5s"`)
		}
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		if t, ok := v.(map[string]any); ok {
			d.table(key, t, into)
		} else {
			d.report(key, "wrong type", v, "a table")
		}
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			d.report(key, "wrong type", v, "an array")
			return
		}
		into.Set(reflect.MakeSlice(into.Type(), len(list), len(list)))
		for i := range list {
			d.value(IndexKey(key, i), list[i], into.Index(i))
		}
	case reflect.Map:
		t, ok := v.(map[string]any)
		if !ok {
			d.report(key, "wrong type", v, "a table")
			return
		}
		into.Set(reflect.MakeMap(into.Type()))
		for name, item := range t {
			e := reflect.New(into.Type().Elem()).Elem()
			d.value(JoinKey(key, name), item, e)
			into.SetMapIndex(reflect.ValueOf(name), e)
		}
	case reflect.Int, reflect.Int64:
		n, ok := v.(int64)
		if !ok || into.OverflowInt(n) {
			d.report(key, "wrong type", v, "an integer")
			return
		}
		into.SetInt(n)
	case reflect.Float64:
		switch n := v.(type) {
		case int64:
			into.SetFloat(float64(n))
		case float64:
			into.SetFloat(n)
		default:
			d.report(key, "wrong type", v, "a number")
		}
	case reflect.Bool:
		b, ok := v.(bool)
		if !ok {
			d.report(key, "wrong type", v, "true or false")
			return
		}
		into.SetBool(b)
	case reflect.String:
		s, ok := v.(string)
		if !ok {
			d.report(key, "wrong type", v, "a string")
			return
		}
		into.SetString(s)
	default:
		panic("strict: field type " + into.Type().String() + " is not supported")
	}
}

// FormatValue formats a found value for a Problem. Long values are truncated.
func FormatValue(v any) string {
	var s string
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		s = strconv.Quote(v)
	case map[string]any:
		return "a table"
	case []any:
		return fmt.Sprintf("an array of %d elements", len(v))
	case encoding.TextMarshaler:
		text, err := v.MarshalText()
		if err != nil {
			return ""
		}
		s = strconv.Quote(string(text))
	default:
		s = fmt.Sprint(v)
	}
	const limit = 80
	if len(s) > limit {
		s = strings.ToValidUTF8(s[:limit], "") + "..."
	}
	return s
}
