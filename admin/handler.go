package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/julienschmidt/httprouter"
	"github.com/rogpeppe/go-internal/diff"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// maxChangeBytes is above the largest configuration, 1 MB.
const maxChangeBytes = 2 << 20

// changeIDBytes makes ids of changes unique without coordination.
const changeIDBytes = 8

// Config configures a Handler.
type Config struct {
	Source  config.Source
	Changer Changer
	Clock   jdaw.Clock
	Status  func() Status
	// Events collects the rings of all VMs, at most limit events each.
	Events func(ctx context.Context, limit int) EventList
	// Bills reads the ledger.
	Bills func(ctx context.Context) ([]jdaw.Bill, error)
}

// Handler serves the administration API.
type Handler struct {
	cfg    Config
	router *httprouter.Router
}

// NewHandler makes the handler.
func NewHandler(cfg Config) *Handler {
	if cfg.Clock == nil {
		cfg.Clock = jdaw.SystemClock{}
	}
	h := &Handler{cfg: cfg, router: httprouter.New()}
	h.route(http.MethodGet, "/admin/v1/status", h.status)
	h.route(http.MethodGet, "/admin/v1/configuration", h.configuration)
	h.route(http.MethodPost, "/admin/v1/changes", h.change)
	h.route(http.MethodGet, "/admin/v1/ledger", h.ledger)
	h.route(http.MethodGet, "/admin/v1/events", h.events)
	h.router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, jdaw.Fail(jdaw.CodeNoRoute, "%s is not part of the administration API", r.URL.Path))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

type operation func(w http.ResponseWriter, r *http.Request, snap *config.Snapshot, op config.Operator) error

// route registers an operation behind authentication.
func (h *Handler) route(method, path string, f operation) {
	h.router.HandlerFunc(method, path, func(w http.ResponseWriter, r *http.Request) {
		snap, op, err := h.authenticate(r)
		if err == nil {
			err = f(w, r, snap, op)
		}
		if err != nil {
			writeError(w, err)
		}
	})
}

func (h *Handler) authenticate(r *http.Request) (*config.Snapshot, config.Operator, error) {
	snap := h.cfg.Source.Snapshot()
	if snap == nil {
		return nil, config.Operator{}, jdaw.Fail(jdaw.CodeNoConfiguration, "this VM has no configuration yet")
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, config.Operator{}, jdaw.Fail(jdaw.CodeNoKey, "the header 'Authorization: Bearer <operator token>' is missing")
	}
	op, ok := snap.Operator(token)
	if !ok {
		return nil, config.Operator{}, jdaw.Fail(jdaw.CodeWrongKey, "the token belongs to no operator")
	}
	return snap, op, nil
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request, _ *config.Snapshot, op config.Operator) error {
	if op.Role == config.RoleOwner {
		return jdaw.Fail(jdaw.CodeNotAuthorized, "the owner of a workspace may not read the status of the whole system")
	}
	return writeJSON(w, h.cfg.Status())
}

func (h *Handler) configuration(w http.ResponseWriter, _ *http.Request, snap *config.Snapshot, op config.Operator) error {
	return writeJSON(w, snap.Doc.WithoutSecrets().VisibleTo(op))
}

func (h *Handler) change(w http.ResponseWriter, r *http.Request, snap *config.Snapshot, op config.Operator) error {
	var c config.Change
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return jdaw.Fail(jdaw.CodeBrokenJSON, "the change cannot be read: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if err := authorize(snap.Doc, op, c); err != nil {
		return err
	}
	c.Operator = op.Name
	c.Ops = append(c.Ops, lifts(snap, c)...)
	if c.ID == "" {
		c.ID = config.RandomHex(changeIDBytes)
	}
	next, err := snap.Doc.Apply(c, h.cfg.Clock.Now())
	if err != nil {
		return err
	}
	difference := Difference(snap.Doc, next)
	if r.URL.Query().Get("dryRun") == "true" {
		return writeJSON(w, Result{Revision: snap.Revision(), Difference: difference, DryRun: true})
	}
	result, err := h.cfg.Changer.Submit(r.Context(), c)
	if err != nil && jdaw.CodeOf(err).Code == jdaw.CodeStoreUnavailable {
		result, err = h.suspend(r.Context(), c, err)
	}
	if err != nil {
		return err
	}
	result.Difference = difference
	return writeJSON(w, result)
}

// suspend carries out a change as suspensions while the key-value service is
// down. All of its steps must take something out of service.
func (h *Handler) suspend(ctx context.Context, c config.Change, cause error) (Result, error) {
	var list []jdaw.Suspension
	at := h.orderedAt()
	for i, op := range c.Ops {
		kind, ok := suspensionKind(op.Kind)
		if !ok {
			return Result{}, cause
		}
		list = append(list, jdaw.Suspension{
			ID: c.ID + "-" + strconv.Itoa(i), Kind: kind, Name: op.Name,
			Operator: c.Operator, Reason: op.Reason, At: at,
		})
	}
	var result Result
	for _, s := range list {
		var err error
		if result, err = h.cfg.Changer.Suspend(ctx, s); err != nil {
			return Result{}, err
		}
	}
	result.Suspended = true
	for _, s := range list {
		result.Suspensions = append(result.Suspensions, s.ID)
	}
	return result, nil
}

// orderedAt is the time of a suspension. It is later than that of all changes
// that this VM knows, however the clocks of the VMs differ: a change with a
// later time overrules the suspension when it is written into the document.
func (h *Handler) orderedAt() time.Time {
	at := h.cfg.Clock.Now().UTC()
	for _, r := range h.cfg.Source.Snapshot().Doc.Changes {
		if !at.After(r.At) {
			at = r.At.Add(1)
		}
	}
	return at
}

// lifts returns the steps that end the suspensions of what the change brings
// back. Without them the accepted order would have no effect, and the write of
// the suspension into the document would revert it.
func lifts(snap *config.Snapshot, c config.Change) []config.Op {
	var out []config.Op
	for _, op := range c.Ops {
		kind, ok := liftedKind(op.Kind)
		if !ok {
			continue
		}
		for _, s := range snap.Suspensions {
			if s.Kind == kind && s.Name == op.Name {
				out = append(out, config.Op{Kind: config.OpLiftSuspension, Name: s.ID})
			}
		}
	}
	return out
}

func liftedKind(kind config.OpKind) (jdaw.SuspensionKind, bool) {
	switch kind {
	case config.OpDataCentreIn:
		return jdaw.SuspendDataCentre, true
	case config.OpUndrainUpstream:
		return jdaw.SuspendUpstream, true
	case config.OpUndrainVM:
		return jdaw.SuspendVM, true
	}
	return "", false
}

func suspensionKind(kind config.OpKind) (jdaw.SuspensionKind, bool) {
	switch kind {
	case config.OpDataCentreOut:
		return jdaw.SuspendDataCentre, true
	case config.OpWithdrawVersion:
		return jdaw.SuspendVersion, true
	case config.OpDrainUpstream:
		return jdaw.SuspendUpstream, true
	case config.OpDrainVM:
		return jdaw.SuspendVM, true
	}
	return "", false
}

// authorize checks the operator's role against each step of the change.
func authorize(d config.Document, op config.Operator, c config.Change) error {
	switch op.Role {
	case config.RoleOperator:
		return nil
	case config.RoleOwner:
		for _, step := range c.Ops {
			if !step.IsWithinWorkspace(op.Workspace) {
				return jdaw.Fail(jdaw.CodeNotAuthorized, "operator %q may change workspace %q only", op.Name, op.Workspace)
			}
			if !step.KeepsLimits(d) {
				return jdaw.Fail(jdaw.CodeNotAuthorized, "operator %q may not change the permissions, services, cascade or weight of workspace %q", op.Name, op.Workspace)
			}
		}
		return nil
	}
	return jdaw.Fail(jdaw.CodeNotAuthorized, "operator %q may read but not change", op.Name)
}

func (h *Handler) ledger(w http.ResponseWriter, r *http.Request, _ *config.Snapshot, op config.Operator) error {
	bills, err := h.cfg.Bills(r.Context())
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	for _, b := range bills {
		if op.Role == config.RoleOwner && b.Workspace != op.Workspace {
			continue
		}
		if err := enc.Encode(b); err != nil {
			return nil // the client went away
		}
	}
	return nil
}

func (h *Handler) events(w http.ResponseWriter, r *http.Request, _ *config.Snapshot, op config.Operator) error {
	if op.Role == config.RoleOwner {
		return jdaw.Fail(jdaw.CodeNotAuthorized, "the owner of a workspace may not read the time line of the whole system")
	}
	limit := 0
	if s := r.URL.Query().Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			return jdaw.Fail(jdaw.CodeBadField, "limit must be a number of events, not %q", s)
		}
		limit = n
	}
	ctx, cancel := context.WithTimeout(r.Context(), 3*time.Second)
	defer cancel()
	return writeJSON(w, h.cfg.Events(ctx, limit))
}

// Difference returns a unified diff of two configurations in YAML, secrets
// and change records left out.
func Difference(before, after config.Document) string {
	return string(diff.Diff("before", yamlOf(before), "after", yamlOf(after)))
}

func yamlOf(d config.Document) []byte {
	d = d.WithoutSecrets()
	d.Changes = nil
	b, err := yaml.Marshal(d)
	if err != nil {
		return []byte(err.Error())
	}
	return b
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // an error means that the client went away
	return nil
}

// errorBody is the body of a refusal.
type errorBody struct {
	Error struct {
		Code    int        `json:"code"`
		Name    string     `json:"name"`
		Message string     `json:"message"`
		Ran     jdaw.Ran   `json:"ran"`
		Retry   jdaw.Retry `json:"retry"`
	} `json:"error"`
}

func writeError(w http.ResponseWriter, err error) {
	coded := jdaw.CodeOf(err)
	info := coded.Code.Info()
	var body errorBody
	body.Error.Code = int(coded.Code)
	body.Error.Name = info.Name
	body.Error.Message = coded.Message
	body.Error.Ran = info.Ran
	body.Error.Retry = info.Retry
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(info.Status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the client went away
}
