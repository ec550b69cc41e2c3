package invariant

import "testing"

// Guards against a violation that is neither counted nor reported.
func TestCheckReportsViolation(t *testing.T) {
	var got string
	SetHandler(func(name, detail string) { got = name + ": " + detail })
	defer handler.Store(nil)

	Check(true, "floor", "unused")
	if got != "" {
		t.Fatalf("handler called for a condition that holds: %q", got)
	}
	before := Violations("floor")
	Check(false, "floor", "serving %d", 8)
	if got != "floor: serving 8" {
		t.Fatalf("handler got %q", got)
	}
	if n := Violations("floor"); n != before+1 {
		t.Fatalf("violations = %d, want %d", n, before+1)
	}
}
