package web

import (
	"encoding/json"
	"net/http"
)

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ReadJSON decodes the request body and answers 400 if it does not decode.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// RegisterFaultsHandler serves PUT /faults, which replaces the faults of a stand-in.
func RegisterFaultsHandler[T any](mux *http.ServeMux, set func(T)) {
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults T
		if !ReadJSON(w, r, &faults) {
			return
		}
		set(faults)
		w.WriteHeader(http.StatusNoContent)
	})
}
