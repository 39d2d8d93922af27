package client

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// answerWith returns the error of a submission to a server with this handler.
func answerWith(t *testing.T, h http.HandlerFunc) error {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	c, err := New(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Submit(t.Context(), "frames", Job{DeadlineMS: 30_000})
	return err
}

// Guards against an answer that was cut off, or that is none, being returned as
// an answer.
func TestAnswerThatIsNotWholeIsBroken(t *testing.T) {
	whole := `{"state":"complete","results":["a"]}`
	cases := map[string]struct {
		body     string
		declared string // Content-Length
	}{
		"whole":           {whole, "36"},
		"cut off":         {whole[:20], "36"},
		"longer than due": {whole, "40"},
		"not JSON":        {whole[:20], "20"},
		"no state":        {`{"results":["a"]}`, "17"},
	}
	for name, c := range cases {
		err := answerWith(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", c.declared)
			_, _ = w.Write([]byte(c.body))
		})
		if name == "whole" {
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		if !errors.Is(err, ErrBroken) {
			t.Errorf("%s: error %v, want ErrBroken", name, err)
		}
	}
}

// Guards against a job that was never sent being reported as one that may have
// run.
func TestJobThatWasNotSentIsNotBroken(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	c, err := New("http://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Submit(t.Context(), "frames", Job{DeadlineMS: 1000})
	if err == nil || errors.Is(err, ErrBroken) || !Error.Has(err) {
		t.Errorf("error %v, want one of class Error", err)
	}
}
