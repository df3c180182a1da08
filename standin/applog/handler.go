package applog

import (
	"io"
	"net/http"
	"strconv"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/standin/web"
)

const maxRecordBytes = 4 << 20

type appendAnswer struct {
	Offset platform.Offset `json:"offset"`
}

// Handler serves the log over HTTP.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.handleAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.handleRead)
	web.RegisterFaultsHandler(mux, l.SetFaults)
	return mux
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := l.Append(r.Context(), platform.Stream(r.PathValue("stream")), data)
	if err != nil {
		// The connection is cut without an answer, as when it is lost.
		panic(http.ErrAbortHandler)
	}
	web.WriteJSON(w, http.StatusOK, appendAnswer{Offset: offset})
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, fromErr := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(query.Get("limit"))
	wait, waitErr := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	if fromErr != nil || limitErr != nil || waitErr != nil {
		http.Error(w, "from, limit and wait-ms must be numbers", http.StatusBadRequest)
		return
	}
	batch, err := l.Read(r.Context(), platform.Stream(r.PathValue("stream")), platform.Offset(from), limit, clock.Millis(wait))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	web.WriteJSON(w, http.StatusOK, batch)
}
