package entry

import (
	"encoding/json"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// cascadeModel is the model name that stands for the workspace's cascade.
const cascadeModel = "cascade"

// chatFields are the validated fields of a chat request. The caller's body is
// passed on, so all other fields reach the engine.
type chatFields struct {
	Model         *string       `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           *int              `json:"max_tokens"`
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
	Temperature         *float64          `json:"temperature"`
	TopP                *float64          `json:"top_p"`
	N                   *int              `json:"n"`
	Seed                *int64            `json:"seed"`
	User                *string           `json:"user"`
	PresencePenalty     *float64          `json:"presence_penalty"`
	FrequencyPenalty    *float64          `json:"frequency_penalty"`
	Metadata            map[string]string `json:"metadata"`
}

type chatMessage struct {
	Role    *string         `json:"role"`
	Content json.RawMessage `json:"content"`
}

func parseChat(body []byte) (chatFields, error) {
	var f chatFields
	if err := json.Unmarshal(body, &f); err != nil {
		if wrong, ok := err.(*json.UnmarshalTypeError); ok {
			return f, jdaw.Fail(jdaw.CodeBadField, "field %q must not be a %s", wrong.Field, wrong.Value)
		}
		return f, jdaw.Fail(jdaw.CodeBrokenJSON, "the body is not valid JSON: %v", err)
	}
	if f.Model == nil || *f.Model == "" {
		return f, jdaw.Fail(jdaw.CodeBadField, "field \"model\" is missing")
	}
	if len(f.Messages) == 0 {
		return f, jdaw.Fail(jdaw.CodeBadField, "field \"messages\" must have at least one message")
	}
	for i, m := range f.Messages {
		if m.Role == nil || *m.Role == "" {
			return f, jdaw.Fail(jdaw.CodeBadField, "message %d has no role", i)
		}
		if !isContent(m.Content) {
			return f, jdaw.Fail(jdaw.CodeBadField, "the content of message %d must be a string or a list of parts", i)
		}
	}
	return f, f.checkRanges()
}

func (f chatFields) checkRanges() error {
	for name, v := range map[string]*int{"max_tokens": f.MaxTokens, "max_completion_tokens": f.MaxCompletionTokens} {
		if v != nil && *v < 1 {
			return jdaw.Fail(jdaw.CodeBadField, "field %q must be at least 1", name)
		}
	}
	if f.N != nil && *f.N != 1 {
		return jdaw.Fail(jdaw.CodeBadField, "field \"n\" must be 1")
	}
	if f.Temperature != nil && (*f.Temperature < 0 || *f.Temperature > 2) {
		return jdaw.Fail(jdaw.CodeBadField, "field \"temperature\" must be between 0 and 2")
	}
	if f.TopP != nil && (*f.TopP < 0 || *f.TopP > 1) {
		return jdaw.Fail(jdaw.CodeBadField, "field \"top_p\" must be between 0 and 1")
	}
	return nil
}

// isContent accepts null, which is the content of messages with tool calls.
func isContent(raw json.RawMessage) bool {
	return len(raw) == 0 || raw[0] == '"' || raw[0] == '[' || raw[0] == 'n'
}

func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(raw, &parts)
	for _, p := range parts {
		text += p.Text
	}
	return text
}

// prefixHash identifies the prompt prefix, which is the first message, in the
// same way as the engines' cache events.
func (f chatFields) prefixHash() uint64 {
	first := f.Messages[0]
	return xxhash.Sum64String(*first.Role + "\n" + contentText(first.Content))
}

// prompt returns the prompt as sent to the rating service.
func (f chatFields) prompt() string {
	var text string
	for _, m := range f.Messages {
		text += *m.Role + "\n" + contentText(m.Content) + "\n"
	}
	return text
}

// choice is what the "model" field and the session of a request select.
type choice struct {
	cascade *config.Cascade   // nil for a single model
	model   string            // without a cascade
	exact   jdaw.ModelVersion // set if the request or its session names the version
	pinned  bool              // exact comes from a session token
	start   string            // id of the session to start
	// sample is compared with the share of a roll-out.
	sample float64
}

// choose resolves the model field and the session headers.
func (r *request) choose(name string) (choice, error) {
	c := choice{sample: rand.Float64()}
	if err := r.chooseModel(name, &c); err != nil {
		return choice{}, err
	}
	token := r.http.Header.Get(headerSession)
	c.start = r.http.Header.Get(headerNewSession)
	switch {
	case token != "" && c.start != "":
		return choice{}, jdaw.Fail(jdaw.CodeBadField, "%s and %s exclude each other", headerSession, headerNewSession)
	case len(c.start) > maxNameLength:
		return choice{}, jdaw.Fail(jdaw.CodeBadField, "the session id is longer than %d bytes", maxNameLength)
	case c.start != "":
		if len(r.snap.Doc.SessionKeys) == 0 {
			return choice{}, jdaw.Fail(jdaw.CodeNoConfiguration, "the configuration has no key to sign sessions with")
		}
		c.sample = float64(xxhash.Sum64String(string(r.workspace)+"\n"+c.start)%10000) / 10000
	case token != "":
		if err := r.pin(token, &c); err != nil {
			return choice{}, err
		}
	}
	return c, r.checkChoice(c)
}

func (r *request) chooseModel(name string, c *choice) error {
	if name == cascadeModel {
		ws, _ := r.snap.Workspace(r.workspace)
		name = ws.Cascade
		if name == "" {
			return jdaw.Fail(jdaw.CodeUnknownModel, "the workspace has no cascade")
		}
	}
	if cascade, ok := r.snap.Cascade(name); ok {
		c.cascade = &cascade
		return nil
	}
	mv := jdaw.ParseModelVersion(name)
	m, ok := r.snap.Model(mv.Model)
	if !ok {
		return jdaw.Fail(jdaw.CodeUnknownModel, "no model, version or cascade is named %q", name)
	}
	c.model = mv.Model
	if mv.Version == "" {
		return nil
	}
	c.exact = mv
	for _, v := range m.Versions {
		if v.Name == mv.Version {
			return nil
		}
	}
	return jdaw.Fail(jdaw.CodeUnknownModel, "model %q has no version %q", mv.Model, mv.Version)
}

// pin restricts the choice to the version in the session token.
func (r *request) pin(token string, c *choice) error {
	s, err := openSession(r.snap.Doc.SessionKeys, r.workspace, token)
	if err != nil {
		return err
	}
	mv := s.modelVersion()
	inCascade := c.cascade != nil && containsString(c.cascade.Models, mv.Model)
	sameModel := c.cascade == nil && c.model == mv.Model && (c.exact.Version == "" || c.exact == mv)
	if !inCascade && !sameModel {
		return jdaw.Fail(jdaw.CodeBadSession, "the session is pinned to %s and the request names another model or version", mv)
	}
	c.cascade = nil
	c.model = mv.Model
	c.exact = mv
	c.pinned = true
	return nil
}

// checkChoice rejects, before it is opened, a request that no version can serve.
func (r *request) checkChoice(c choice) error {
	if c.cascade != nil {
		_, err := r.cascadeModels(r.snap, c)
		return err
	}
	_, err := r.versions(r.snap, c, c.model)
	return err
}

// versions returns the versions of a model that the request may run on, in
// order of preference.
func (r *request) versions(snap *config.Snapshot, c choice, model string) ([]jdaw.ModelVersion, error) {
	if c.exact.Version != "" {
		return r.exactVersion(snap, c)
	}
	m, ok := snap.Model(model)
	if !ok {
		return nil, jdaw.Fail(jdaw.CodeUnknownModel, "no model is named %q", model)
	}
	var out []jdaw.ModelVersion
	ro, ok := snap.Rollout(model)
	if ok && ro.State == config.RolloutRunning && c.sample*100 < ro.SharePercent {
		mv := jdaw.ModelVersion{Model: model, Version: ro.Version}
		if snap.IsAllowed(r.workspace, mv) {
			out = append(out, mv)
		}
	}
	withdrawn := false
	for _, v := range m.Versions {
		mv := jdaw.ModelVersion{Model: model, Version: v.Name}
		withdrawn = withdrawn || snap.IsWithdrawn(mv) && r.isPermitted(snap, mv)
		chosen := len(out) > 0 && out[0] == mv
		if v.State == config.VersionActive && !chosen && snap.IsAllowed(r.workspace, mv) {
			out = append(out, mv)
		}
	}
	if len(out) == 0 && ok && ro.State == config.RolloutRunning {
		// A workspace that may use only the new version gets it regardless of
		// the share; otherwise its requests outside the share would fail.
		if mv := (jdaw.ModelVersion{Model: model, Version: ro.Version}); snap.IsAllowed(r.workspace, mv) {
			out = append(out, mv)
		}
	}
	switch {
	case len(out) > 1 && c.start != "":
		return onlyOffered(snap, m.Kind, out), nil
	case len(out) > 0:
		return out, nil
	case withdrawn:
		return nil, jdaw.Fail(jdaw.CodeVersionWithdrawn, "the versions of %q that the workspace may use have been withdrawn", model)
	}
	return nil, jdaw.Fail(jdaw.CodeModelNotAllowed, "the workspace may not use model %q", model)
}

// onlyOffered returns the first version that the configuration assigns to an
// upstream in service. A new session must not fall back to another version
// because the first one has no free upstream or none in the nearest data
// centre: another VM may handle the session's first request concurrently and
// must choose the same version.
func onlyOffered(snap *config.Snapshot, kind string, versions []jdaw.ModelVersion) []jdaw.ModelVersion {
	for _, mv := range versions {
		for i := range snap.Doc.Upstreams {
			u := &snap.Doc.Upstreams[i]
			offers := len(u.Versions) == 0 || containsString(u.Versions, mv.String())
			if u.Kind == kind && offers && !snap.IsOut(u.DataCentre) && !snap.IsLeaving(u.ID) {
				return []jdaw.ModelVersion{mv}
			}
		}
	}
	return versions[:1]
}

func (r *request) exactVersion(snap *config.Snapshot, c choice) ([]jdaw.ModelVersion, error) {
	mv := c.exact
	switch {
	case snap.IsAllowed(r.workspace, mv):
		return []jdaw.ModelVersion{mv}, nil
	case !r.isPermitted(snap, mv):
		return nil, jdaw.Fail(jdaw.CodeModelNotAllowed, "the workspace may not use %s", mv)
	case c.pinned:
		return nil, jdaw.Fail(jdaw.CodeSessionVersionWithdrawn, "version %s of the session has been withdrawn", mv)
	}
	return nil, jdaw.Fail(jdaw.CodeVersionWithdrawn, "version %s has been withdrawn", mv)
}

// isPermitted reports whether a pattern of the workspace matches the version,
// regardless of its state.
func (r *request) isPermitted(snap *config.Snapshot, mv jdaw.ModelVersion) bool {
	ws, _ := snap.Workspace(r.workspace)
	for _, a := range ws.Allow {
		if a == mv.Model || a == mv.Model+"@*" || a == mv.String() {
			return true
		}
	}
	return false
}

// cascadeModels returns the models of the cascade that the request may use.
func (r *request) cascadeModels(snap *config.Snapshot, c choice) ([]string, error) {
	var out []string
	var first error
	for _, model := range c.cascade.Models {
		_, err := r.versions(snap, c, model)
		if err == nil {
			out = append(out, model)
		} else if first == nil {
			first = err
		}
	}
	if len(out) > 0 {
		return out, nil
	}
	if first == nil {
		first = jdaw.Fail(jdaw.CodeUnknownModel, "cascade %q has no models", c.cascade.Name)
	}
	return nil, first
}

func containsString(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
