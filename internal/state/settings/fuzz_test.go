package settings

import (
	"reflect"
	"testing"
)

// Guards against settings that make the parser panic, and against settings that are
// refused without a problem or accepted with one.
func FuzzParse(f *testing.F) {
	f.Add([]byte(Reference()))
	f.Add([]byte("[node]\nid = \"n1\"\nfailure_domain = \"fd1\"\nregion = \"r1\"\n[platform]\naddress = \"http://127.0.0.1:1\"\n"))
	f.Add([]byte("[drain]\ntimeout = \"-1s\"\n[limits]\nmax_peer_connections = 1e9"))
	f.Fuzz(func(t *testing.T, in []byte) {
		s, problems := Parse(in)
		if (s == nil) != (len(problems) > 0) {
			t.Fatalf("settings %v with problems %v", s, problems)
		}
		if s == nil {
			_ = problems.Error()
			return
		}
		if again, _ := Parse(in); !reflect.DeepEqual(s, again) {
			t.Fatalf("%+v, then %+v", s, again)
		}
	})
}
