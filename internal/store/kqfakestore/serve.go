package kqfakestore

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

const (
	// maxRequestBytes leaves room for the largest value in base64, which makes it a third
	// longer, and for the other fields of an Operation.
	maxRequestBytes = 2*kqstore.MaxValueBytes + 4096
	// maxWait bounds the wait of a watch, so that the connection of a client that has gone
	// is not kept for longer. The platform's own bound is 30 s. maxWait also bounds the
	// ttl of a lease.
	maxWait = 5 * time.Minute
)

type (
	// Operation is the JSON body of POST /v1/VERB. Each verb uses only some of the
	// fields. Expected is the expected revision, or that after which a watch waits for
	// a change. WaitMS is the wait of a watch or the ttl of a lease.
	Operation struct {
		Key      string           `json:"key,omitempty"`
		Value    []byte           `json:"value,omitempty"`
		Expected kqstore.Revision `json:"expected,omitempty"`
		Lease    kqstore.Lease    `json:"lease,omitempty"`
		WaitMS   int64            `json:"wait_ms,omitempty"`
	}

	// Result is the JSON body of every response to an Operation, except those of status
	// 400, which are plain text. Error is empty, with status 200, or a key of Errors, whose
	// HTTP status clients do not read.
	Result struct {
		Entry    kqstore.Entry    `json:"entry,omitzero"`
		Revision kqstore.Revision `json:"revision,omitempty"`
		Lease    kqstore.Lease    `json:"lease,omitempty"`
		Error    string           `json:"error,omitempty"`
	}
)

// Errors maps the error codes in a Result to the errors of kqstore.Store.
// ErrCompacted has no code, since only Follow returns it, which is not served.
var Errors = map[string]error{
	"not_found":    kqstore.ErrNotFound,
	"conflict":     kqstore.ErrConflict,
	"lease_lapsed": kqstore.ErrLeaseLapsed,
	"too_large":    kqstore.ErrTooLarge,
	"rate_limited": kqstore.ErrRateLimited,
	"unavailable":  kqstore.ErrUnavailable,
}

// Handler serves kqstore.Store as JSON over HTTP, but not kqstore.Lister: POST
// /v1/{get,put,swap,delete,grant,renew,watch}, GET and PUT /faults, and GET /counts.
func (s *Fake) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/{verb}", s.serveVerb)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Counts()) })
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Faults()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		dec := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
		// If unknown fields were ignored, a misspelled fault would switch all faults off.
		dec.DisallowUnknownFields()
		if err := dec.Decode(&f); err != nil {
			http.Error(w, "read faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		reply(w, http.StatusOK, s.Faults())
	})
	return mux
}

func (s *Fake) serveVerb(w http.ResponseWriter, r *http.Request) {
	var c Operation
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&c)
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		reply(w, http.StatusRequestEntityTooLarge, Result{Error: "too_large"})
		return
	}
	if err != nil {
		http.Error(w, "read operation: "+err.Error(), http.StatusBadRequest)
		return
	}
	a, err := s.serve(r.Context(), r.PathValue("verb"), c)
	if err == nil {
		reply(w, http.StatusOK, a)
		return
	}
	for name, known := range Errors {
		if errors.Is(err, known) {
			reply(w, http.StatusConflict, Result{Error: name})
			return
		}
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// serve runs one operation. A wait or ttl over maxWait is cut to maxWait.
func (s *Fake) serve(ctx context.Context, verb string, c Operation) (a Result, err error) {
	wait := min(time.Duration(max(c.WaitMS, 0))*time.Millisecond, maxWait)
	switch verb {
	case "get":
		a.Entry, err = s.Get(ctx, c.Key)
	case "put":
		a.Revision, err = s.Put(ctx, c.Key, c.Value, c.Lease)
	case "swap":
		a.Revision, err = s.Swap(ctx, c.Key, c.Expected, c.Value, c.Lease)
	case "delete":
		err = s.Delete(ctx, c.Key, c.Expected)
	case "grant":
		a.Lease, err = s.Grant(ctx, wait)
	case "renew":
		err = s.Renew(ctx, c.Lease)
	case "watch":
		a.Entry, err = s.Watch(ctx, c.Key, c.Expected, wait)
	default:
		err = errors.New("unknown verb " + verb)
	}
	return a, err
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The only possible error is that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
