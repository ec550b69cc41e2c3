package policy_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// Guards against a document that makes the parser panic, a document that is refused
// without a problem, and a valid document that Encode followed by Parse changes.
func FuzzParse(f *testing.F) {
	examples, err := filepath.Glob("../../../examples/policies/*.toml")
	if err != nil || len(examples) == 0 {
		f.Fatalf("no example policies: %v", err)
	}
	for _, name := range examples {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add(text("a", "x", 1))
	f.Fuzz(func(t *testing.T, in []byte) {
		doc, problems := policy.Parse(in)
		if (doc == nil) != (len(problems) > 0) {
			t.Fatalf("document %v with problems %v", doc, problems)
		}
		if doc == nil {
			_ = problems.Error()
			return
		}
		again, problems := policy.Parse(policy.Encode(doc))
		if len(problems) > 0 {
			t.Fatalf("encoded document is refused: %v\n%s", problems, policy.Encode(doc))
		}
		if changes := policy.Diff(doc, again); len(changes) > 0 {
			t.Fatalf("changed by Encode and Parse: %v", changes)
		}
		if third, _ := policy.Parse(policy.Encode(again)); !reflect.DeepEqual(again, third) {
			t.Fatalf("%+v became %+v", again, third)
		}
	})
}
