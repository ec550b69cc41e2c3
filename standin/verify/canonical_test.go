package verify

import (
	"strings"
	"testing"
)

// Guards against a comparison that fails for the white space or the order of keys of a
// build, and against one that passes for other values or for output that is missing.
func TestWriteCanonical(t *testing.T) {
	const text = `{"epoch":"18446744073709551615","weight":0.5} {"nodes":[{"id":"n1"}]}`
	var want strings.Builder
	if err := WriteCanonical(&want, strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	for other, result := range map[string]string{
		"{\n \"weight\":  0.5,\n \"epoch\": \"18446744073709551615\"}\n{ \"nodes\":[ {\"id\":\"n1\" }]}\n": "same",
		strings.Replace(text, "5\"", "4\"", 1):               "other",
		strings.Replace(text, "0.5", "0.50000000001", 1):     "other",
		strings.Replace(text, `"n1"`, `"n 1"`, 1):            "other",
		strings.TrimSuffix(text, ` {"nodes":[{"id":"n1"}]}`): "other",
		"": "error", " \n": "error", text[:len(text)-1]: "error",
	} {
		var out strings.Builder
		got := "other"
		if WriteCanonical(&out, strings.NewReader(other)) != nil {
			got = "error"
		} else if out.String() == want.String() {
			got = "same"
		}
		if got != result {
			t.Errorf("%q: %s, want %s", other, got, result)
		}
	}
}
