package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/platform/httpstore"
)

const (
	// PathFaults takes a StoreFaultChange by POST; GET and POST answer with a
	// StoreStatus.
	PathFaults = "/faults"
	// maxStoreRequestBytes has room for the largest value in base64.
	maxStoreRequestBytes = 2 * platform.MaxValueBytes
	// maxWatchWait bounds how long one request may stay pending.
	maxWatchWait = time.Minute
	// headerTimeout closes connections that send no request.
	headerTimeout = 10 * time.Second
)

// Handler returns the store's HTTP side, in the messages of httpstore.
func (s *Store) Handler() http.Handler {
	r := bunrouter.New().Compat()
	r.POST(httpstore.PathGet, handle(s, false, s.handleGet))
	r.POST(httpstore.PathList, handle(s, false, s.handleList))
	r.POST(httpstore.PathCompareAndSwap, handle(s, true, s.handleCompareAndSwap))
	r.POST(httpstore.PathDelete, handle(s, true, s.handleDelete))
	r.POST(httpstore.PathGrantLease, handle(s, true, s.handleGrantLease))
	r.POST(httpstore.PathKeepAlive, handle(s, true, s.handleKeepAlive))
	r.POST(httpstore.PathRevokeLease, handle(s, true, s.handleRevokeLease))
	r.POST(httpstore.PathWatch, handle(s, false, s.handleWatch))
	r.GET(PathFaults, s.handleStatus)
	r.POST(PathFaults, s.handleFaults)
	return r.Router
}

// handle serves one operation through the faults. A call that must not be
// answered ends its connection.
func handle[Q, A any](s *Store, write bool, apply func(context.Context, Q) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := decode(w, r, &request); err != nil {
			reply(w, 0, nil, err)
			return
		}
		var answer A
		err := s.serve(r.Context(), write, func() (err error) {
			answer, err = apply(r.Context(), request)
			return err
		})
		if errors.Is(err, errNoAnswer) {
			panic(http.ErrAbortHandler)
		}
		reply(w, http.StatusOK, answer, err)
	}
}

func decode(w http.ResponseWriter, r *http.Request, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStoreRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%w: %w", httpstore.ErrBadRequest, err)
	}
	return nil
}

func reply(w http.ResponseWriter, status int, answer any, err error) {
	if err != nil {
		status, answer = httpstore.EncodeError(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here is a client that has gone.
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) handleGet(_ context.Context, q httpstore.GetRequest) (httpstore.Entry, error) {
	e, err := s.get(q.Key)
	return httpstore.FromPlatform(e), err
}

func (s *Store) handleList(_ context.Context, q httpstore.ListRequest) (httpstore.ListAnswer, error) {
	entries, revision, err := s.list(q.Prefix)
	a := httpstore.ListAnswer{Entries: make([]httpstore.Entry, len(entries)), Revision: revision}
	for i, e := range entries {
		a.Entries[i] = httpstore.FromPlatform(e)
	}
	return a, err
}

func (s *Store) handleCompareAndSwap(_ context.Context, q httpstore.CompareAndSwapRequest) (httpstore.VersionAnswer, error) {
	version, err := s.compareAndSwap(q.Key, q.Expected, q.Value, q.Lease)
	return httpstore.VersionAnswer{Version: version}, err
}

func (s *Store) handleDelete(_ context.Context, q httpstore.DeleteRequest) (httpstore.Empty, error) {
	return httpstore.Empty{}, s.delete(q.Key, q.Expected)
}

func (s *Store) handleGrantLease(_ context.Context, q httpstore.GrantLeaseRequest) (httpstore.Lease, error) {
	if q.TTLMS <= 0 {
		return httpstore.Lease{}, fmt.Errorf("%w: ttl_ms is %d", httpstore.ErrBadRequest, q.TTLMS)
	}
	id, err := s.grantLease(milliseconds(int(q.TTLMS)))
	return httpstore.Lease{ID: id}, err
}

func (s *Store) handleKeepAlive(_ context.Context, q httpstore.Lease) (httpstore.Empty, error) {
	return httpstore.Empty{}, s.keepAlive(q.ID)
}

func (s *Store) handleRevokeLease(_ context.Context, q httpstore.Lease) (httpstore.Empty, error) {
	return httpstore.Empty{}, s.revokeLease(q.ID)
}

func (s *Store) handleWatch(ctx context.Context, q httpstore.WatchRequest) (httpstore.WatchAnswer, error) {
	wait := min(milliseconds(int(q.WaitMS)), maxWatchWait)
	changes, revision, err := s.watch(ctx, q.Prefix, q.After, wait)
	a := httpstore.WatchAnswer{Changes: make([]httpstore.Change, len(changes)), Revision: revision}
	for i, c := range changes {
		a.Changes[i] = httpstore.Change{Entry: httpstore.FromPlatform(c.Entry), Deleted: c.Deleted}
	}
	return a, err
}

func (s *Store) handleStatus(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Status(), nil)
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var change StoreFaultChange
	err := decode(w, r, &change)
	if err == nil {
		err = s.Change(change)
	}
	reply(w, http.StatusOK, s.Status(), err)
}

// RunStoreOptions are the parameters of RunStore. Zero fields take the defaults.
type RunStoreOptions struct {
	StoreOptions
	// Listening is called once with the bound address.
	Listening func(net.Addr)
}

// RunStore serves a new store on a TCP address until the context ends. Pending
// calls are cut off then, as they are when the platform's store stops.
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
