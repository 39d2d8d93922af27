package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"
	"go.uber.org/zap"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/internal/httpserve"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
)

// Timeouts and size limits of the operator API.
const (
	// confirmTimeout is the time within which an accepted change must be in effect in every
	// entry. Entries that have not confirmed by then are reported as missing.
	confirmTimeout = 4 * time.Second

	// confirmInterval is the polling interval for a Confirmer that returns at once.
	confirmInterval = 50 * time.Millisecond

	// readTimeout is the timeout of the store read for GET /v1/config, after which the
	// document in memory is returned.
	readTimeout = time.Second

	// maxLabelsBytes is enough for the largest request: label.MaxLabels labels to set and
	// as many to remove.
	maxLabelsBytes = 16 << 10
)

// Options are the dependencies of the handler. All fields are required.
type Options struct {
	Applier   *config.Applier
	Role      RoleFunc
	Confirmer Confirmer
	Status    StatusProvider
	Log       *zap.Logger
}

type handler struct {
	Options
}

// NewHandler returns the handler of the operator API. Requests of clients without the operator
// role are refused with NotPermitted.
func NewHandler(o Options) http.Handler {
	h := &handler{o}
	r := bunrouter.New()
	r.GET("/v1/config", h.getConfig)
	r.PUT("/v1/config", h.putConfig)
	r.GET("/v1/status", h.getStatus)
	r.POST("/v1/targets/:name/drain", h.handleEdit(parseDrain(true)))
	r.POST("/v1/targets/:name/undrain", h.handleEdit(parseDrain(false)))
	r.POST("/v1/targets/:name/labels", h.handleEdit(parseLabels))
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if role, ok := o.Role(req); !ok || role != wire.RoleOperator {
			h.writeChangeResponse(w, refusedResponse(result.NotPermitted, nil))
			return
		}
		r.ServeHTTP(w, req)
	})
}

func refusedResponse(code result.Code, errs settings.Errors) ChangeResponse {
	return ChangeResponse{Result: config.Result{
		Outcome: config.Refused,
		Code:    code,
		Name:    code.String(),
		Reason:  result.New(code, "").Reason,
		Errors:  errs,
	}}
}

func invalidResponse(field, message string) ChangeResponse {
	return refusedResponse(result.ConfigInvalid, settings.Errors{{Field: field, Message: message}})
}

// unreadResponse returns the response to a request whose body was not read.
func unreadResponse(err error) ChangeResponse {
	if errors.Is(err, httpserve.ErrBusy) {
		return refusedResponse(result.Busy, nil)
	}
	return invalidResponse("", "the body cannot be read: "+err.Error())
}

func (h *handler) writeChangeResponse(w http.ResponseWriter, c ChangeResponse) {
	status := http.StatusOK
	if info, ok := result.Lookup(c.Code); ok {
		status = info.Status
	}
	writeJSON(w, status, c)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func (h *handler) getConfig(w http.ResponseWriter, req bunrouter.Request) error {
	ctx, cancel := context.WithTimeout(req.Context(), readTimeout)
	defer cancel()
	source := FromStore
	snapshot, err := h.Applier.Read(ctx)
	if err != nil {
		source, snapshot = FromMemory, h.Applier.Holder.Current()
	}
	if err != nil && snapshot.Revision() == 0 {
		c := refusedResponse(result.ConfigUnavailable, nil)
		c.Reason = "the configuration cannot be read: " + err.Error()
		h.writeChangeResponse(w, c)
		return nil
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(snapshot.Revision(), 10)))
	writeJSON(w, http.StatusOK, ConfigResponse{snapshot.Revision(), source, snapshot.Document()})
	return nil
}

func (h *handler) getStatus(w http.ResponseWriter, req bunrouter.Request) error {
	writeJSON(w, http.StatusOK, h.Status.Status(req.Context()))
	return nil
}

func (h *handler) putConfig(w http.ResponseWriter, req bunrouter.Request) error {
	base, err := strconv.ParseUint(strings.Trim(req.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		h.writeChangeResponse(w, invalidResponse("If-Match", "the header must contain the revision that the document is based on, or 0 if there is no document yet"))
		return nil
	}
	// One byte more than the limit shows the applier that the document is too large.
	body, err := httpserve.ReadBody(w, req.Request, kv.MaxValueBytes+1)
	if errors.Is(err, httpserve.ErrBodyTooLarge) {
		h.writeChangeResponse(w, refusedResponse(result.ConfigTooLarge, nil))
		return nil
	}
	if err != nil {
		h.writeChangeResponse(w, unreadResponse(err))
		return nil
	}
	h.applyAndRespond(w, req, func(ctx context.Context, id string) config.Result {
		return h.Applier.ApplyJSON(ctx, id, base, body)
	})
	return nil
}

// editParser decodes and validates the edit in a request for a target.
type editParser func(target string, body []byte) (config.Edit, settings.Errors)

func parseDrain(drain bool) editParser {
	return func(target string, _ []byte) (config.Edit, settings.Errors) {
		return config.SetDrain(target, drain), nil
	}
}

func parseLabels(target string, body []byte) (config.Edit, settings.Errors) {
	var l LabelsRequest
	source, errs := settings.DecodeWithSourceMap(body, &l)
	c := settings.NewChecker(source, errs)
	c.Labels("set", l.Set)
	for i, k := range l.Remove {
		c.LabelKey(settings.IndexPath("remove", i), k)
		if _, both := l.Set[k]; both {
			c.Add(settings.IndexPath("remove", i), "%q is set and removed", k)
		}
	}
	if len(l.Set)+len(l.Remove) == 0 {
		c.Add("", "there is no label to set or remove")
	}
	return config.SetLabels(target, l.Set, l.Remove), c.Errors()
}

func (h *handler) handleEdit(parse editParser) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		body, err := httpserve.ReadBody(w, req.Request, maxLabelsBytes)
		if err != nil {
			h.writeChangeResponse(w, unreadResponse(err))
			return nil
		}
		e, errs := parse(req.Param("name"), body)
		if len(errs) > 0 {
			h.writeChangeResponse(w, refusedResponse(result.ConfigInvalid, errs))
			return nil
		}
		h.applyAndRespond(w, req, func(ctx context.Context, id string) config.Result {
			return h.Applier.Edit(ctx, id, e)
		})
		return nil
	}
}

// applyAndRespond applies a change and writes its result. It continues if the client
// disconnects, so that the outcome of a write without a response is still resolved.
func (h *handler) applyAndRespond(w http.ResponseWriter, req bunrouter.Request, apply func(context.Context, string) config.Result) {
	id := req.Header.Get(ChangeIDHeader)
	c := ChangeResponse{ChangeID: id, Result: apply(context.WithoutCancel(req.Context()), id)}
	h.Log.Info("configuration change",
		zap.String("change_id", id),
		zap.String("path", req.URL.Path),
		zap.String("outcome", string(c.Outcome)),
		zap.Uint64("revision", c.Revision),
		zap.String("reason", c.Reason))
	if c.Outcome == config.Accepted {
		c.Confirmed, c.Missing = h.confirmations(req.Context(), c.Revision)
		c.Warning = h.unknownTargetWarning(req.Context(), req.Param("name"))
	}
	h.writeChangeResponse(w, c)
}

// confirmations waits until the revision is in effect in every live entry, for at most
// confirmTimeout.
func (h *handler) confirmations(ctx context.Context, revision uint64) (confirmed, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		confirmed, missing = h.Confirmer.Confirmations(ctx, revision)
		if len(missing) == 0 {
			return confirmed, nil
		}
		timer := time.NewTimer(confirmInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return confirmed, missing
		}
	}
}

// unknownTargetWarning returns a warning if no target of that name is announced, most likely
// because the name is misspelt. This is not an error: a target may be drained before it is
// announced.
func (h *handler) unknownTargetWarning(ctx context.Context, target string) string {
	known := func(t TargetStatus) bool { return t.Name == target }
	if target == "" || slices.ContainsFunc(h.Status.Status(ctx).Targets, known) {
		return ""
	}
	return fmt.Sprintf("no target %q is announced at this entry", target)
}
