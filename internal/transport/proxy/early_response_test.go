package proxy

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against an upload that loses bytes because its response begins before its end: the
// backend server would take the others for the whole body.
func TestEarlyResponseLeavesUploadWhole(t *testing.T) {
	const chunk, chunks = 2 << 10, 40
	want := bytes.Repeat(append(bytes.Repeat([]byte("a"), chunk), bytes.Repeat([]byte("b"), chunk)...), chunks/2)
	for round := range 20 {
		f := newFleet(t, 2)
		got := make(chan []byte, 1)
		f.serve(round%2, "b1", func(w http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(w)
			_ = control.EnableFullDuplex()
			first := make([]byte, chunk)
			_, _ = io.ReadFull(r.Body, first)
			_, _ = io.WriteString(w, "early, ")
			_ = control.Flush()
			rest, err := io.ReadAll(r.Body)
			if err != nil {
				t.Errorf("the upload was cut: %v", err)
			}
			_, _ = io.WriteString(w, "complete")
			got <- append(first, rest...)
		})
		body, upload := io.Pipe()
		go func() {
			defer upload.Close()
			for sent := 0; sent < len(want); sent += chunk {
				_, _ = upload.Write(want[sent : sent+chunk])
				time.Sleep(time.Millisecond)
			}
		}()
		// On a connection that is kept, the HTTP server reads the rest of the body of a request.
		res := f.send(0, http.MethodPost, "/", body, func(r *http.Request) { r.Close = false })
		if ran := <-got; !bytes.Equal(ran, want) {
			t.Errorf("the backend server ran %d bytes of %d", len(ran), len(want))
		}
		if res.body != "early, complete" || res.err != nil {
			t.Errorf("got %+v", res)
		}
	}
}
