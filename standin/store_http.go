package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/platform"
)

const (
	// PathFaults accepts a StoreFaultChange by POST. GET and POST respond with a
	// StoreStatus.
	PathFaults = "/faults"
	// maxStoreRequestBytes leaves room for the largest value in base64.
	maxStoreRequestBytes = 2 * kv.MaxValueBytes
	// maxWatchWait bounds how long one watch request may stay pending.
	maxWatchWait = time.Minute
	// headerTimeout bounds the time in which a client sends its request headers.
	headerTimeout = 10 * time.Second
)

// Handler returns an HTTP handler that implements the platform's store API and also
// serves PathFaults.
func (s *Store) Handler() http.Handler {
	r := bunrouter.New().Compat()
	r.GET(platform.PathItem, handle(s, false, s.handleItem))
	r.GET(platform.PathRange, handle(s, false, s.handleRange))
	r.GET(platform.PathWatch, handle(s, false, s.handleWatch))
	r.POST(platform.PathTransaction, handle(s, true, s.handleTransaction))
	r.POST(platform.PathGrantLease, handle(s, true, s.handleGrantLease))
	r.POST(platform.PathKeepAlive+":lease", handle(s, true, s.handleKeepAlive))
	r.DELETE(platform.PathRevokeLease+":lease", handle(s, true, s.handleRevokeLease))
	r.GET(PathFaults, s.handleStatus)
	r.POST(PathFaults, s.handleFaults)
	return r.Router
}

// errBadRequest is returned for malformed requests, which are not applied.
var errBadRequest = fmt.Errorf("%w: the request is malformed", kv.ErrUnavailable)

// handle serves one operation subject to the faults. If the call must not get a
// response, it closes the connection.
func handle[A any](s *Store, write bool, apply func(*http.Request) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// net/http detects a closed connection only after the body has been read, and
		// a hanging call must end when its caller disconnects.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStoreRequestBytes))
		if err != nil {
			writeResponse(w, http.StatusOK, nil, fmt.Errorf("%w: %w", errBadRequest, err))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		var response A
		err = s.serve(r.Context(), write, func() (err error) {
			response, err = apply(r)
			return err
		})
		if errors.Is(err, errNoResponse) {
			panic(http.ErrAbortHandler)
		}
		writeResponse(w, http.StatusOK, response, err)
	}
}

func decode(r *http.Request, into any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%w: %w", errBadRequest, err)
	}
	return nil
}

func writeResponse(w http.ResponseWriter, status int, response any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status, response = httpStatus(err), errorResponse{err.Error()}
	}
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(response)
}

func httpStatus(err error) int {
	switch {
	case errors.Is(err, errBadRequest):
		return http.StatusBadRequest
	case errors.Is(err, errRateLimited):
		return http.StatusTooManyRequests
	}
	return platform.StoreStatus(err)
}

// errorResponse is the body of a response whose status isn't 200. Detail is meant for
// people; clients go by the status.
type errorResponse struct {
	Detail string `json:"detail"`
}

func (s *Store) handleItem(r *http.Request) (platform.ItemResponse, error) {
	e, err := s.get(r.URL.Query().Get(platform.QueryKey))
	return platform.ItemResponse{Item: platform.ItemOf(e), StoreRevision: s.Revision()}, err
}

// maxPageItems bounds the items in a page of a range. It is smaller than the platform's,
// so that tests cover several pages.
const maxPageItems = 100

func (s *Store) handleRange(r *http.Request) (platform.RangeResponse, error) {
	entries, revision, err := s.list(r.URL.Query().Get(platform.QueryPrefix))
	a := platform.RangeResponse{Items: []platform.Item{}, StoreRevision: revision}
	after := r.URL.Query().Get(platform.QueryAfter)
	for _, e := range entries {
		if e.Key <= after {
			continue
		}
		if len(a.Items) == maxPageItems {
			a.More = true
			break
		}
		a.Items = append(a.Items, platform.ItemOf(e))
	}
	return a, err
}

// handleTransaction serves transactions of one condition and one change, the only ones
// that catkinline sends.
func (s *Store) handleTransaction(r *http.Request) (platform.TransactionResponse, error) {
	var t platform.Transaction
	if err := decode(r, &t); err != nil {
		return platform.TransactionResponse{}, err
	}
	if len(t.Expect) != 1 || len(t.Writes)+len(t.Deletes) != 1 {
		return platform.TransactionResponse{}, fmt.Errorf("%w: want one condition and one change", errBadRequest)
	}
	condition := t.Expect[0]
	if len(t.Deletes) == 1 {
		err := s.delete(condition.Key, condition.Revision)
		return platform.TransactionResponse{Revision: s.Revision()}, err
	}
	version, err := s.compareAndSwap(condition.Key, condition.Revision, t.Writes[0].Value, t.Writes[0].Lease)
	return platform.TransactionResponse{Revision: version}, err
}

func (s *Store) handleGrantLease(r *http.Request) (platform.LeaseResponse, error) {
	var q platform.LeaseRequest
	if err := decode(r, &q); err != nil {
		return platform.LeaseResponse{}, err
	}
	if q.TTL <= 0 {
		return platform.LeaseResponse{}, fmt.Errorf("%w: the time to live is %d ms", errBadRequest, q.TTL)
	}
	id, err := s.grantLease(milliseconds(int(q.TTL)))
	return platform.LeaseResponse{Lease: id, TTL: q.TTL}, err
}

// emptyResponse is the response body of operations that return nothing.
type emptyResponse struct{}

func leaseIDOf(r *http.Request) (kv.LeaseID, error) {
	id, err := strconv.ParseUint(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	return kv.LeaseID(id), nil
}

func (s *Store) handleKeepAlive(r *http.Request) (emptyResponse, error) {
	id, err := leaseIDOf(r)
	if err != nil {
		return emptyResponse{}, err
	}
	return emptyResponse{}, s.keepAlive(id)
}

func (s *Store) handleRevokeLease(r *http.Request) (emptyResponse, error) {
	id, err := leaseIDOf(r)
	if err != nil {
		return emptyResponse{}, err
	}
	return emptyResponse{}, s.revokeLease(id)
}

func (s *Store) handleWatch(r *http.Request) (platform.WatchResponse, error) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get(platform.QueryAfter), 10, 64)
	if err != nil {
		return platform.WatchResponse{}, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	ms, err := strconv.Atoi(q.Get(platform.QueryWait))
	if err != nil {
		return platform.WatchResponse{}, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	changes, revision, err := s.watch(r.Context(), q.Get(platform.QueryPrefix), after, min(milliseconds(ms), maxWatchWait))
	a := platform.WatchResponse{Events: make([]platform.Event, len(changes)), StoreRevision: revision}
	for i, c := range changes {
		a.Events[i] = platform.Event{Item: platform.ItemOf(c.Entry), Deleted: c.Deleted}
	}
	return a, err
}

func (s *Store) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusOK, s.Status(), nil)
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var change StoreFaultChange
	err := decode(r, &change)
	if err == nil {
		err = s.ChangeFaults(change)
	}
	writeResponse(w, http.StatusOK, s.Status(), err)
}

// RunStoreOptions configures RunStore. Zero fields take the defaults.
type RunStoreOptions struct {
	StoreOptions
	// Listening is called once with the bound address; it may be nil.
	Listening func(net.Addr)
}

// RunStore serves a new store on a TCP address until ctx ends. It then closes the
// connections of pending calls, as the platform's store does when it stops.
func RunStore(ctx context.Context, address string, o RunStoreOptions) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if o.FirstRevision == 0 {
		o.FirstRevision = uint64(time.Now().UnixMilli())
	}
	if o.Listening != nil {
		o.Listening(listener.Addr())
	}
	server := &http.Server{
		Handler:           NewStore(o.StoreOptions).Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
