package callerhttp

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// deadlines notes the write deadlines of an answer.
type deadlines struct {
	*httptest.ResponseRecorder
	set []time.Time
}

func (d *deadlines) SetWriteDeadline(t time.Time) error {
	d.set = append(d.set, t)
	return nil
}

// Guards against a lost caller that holds its engine until the kernel gives it up.
func TestEachEventHasADeadline(t *testing.T) {
	w := &deadlines{ResponseRecorder: httptest.NewRecorder()}
	out := &answerWriter{w: w, control: http.NewResponseController(w)}
	out.begin("small@1")
	began := time.Now()
	for n := 1; n <= 2; n++ {
		if err := out.text("a"); err != nil {
			t.Fatal(err)
		}
		if len(w.set) != n || w.set[n-1].Before(began.Add(takeTimeout.Duration())) {
			t.Errorf("after event %d the deadlines are %v", n, w.set)
		}
	}
}
