package gate

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/relay"
)

const (
	// wherePath is the path at the metrics listener that tells where a request would
	// go. The query is bounded by probeHeaderBytes, like all headers there.
	wherePath = "/where"
	// maxWhereTokens limits the stated tokens of a prompt.
	maxWhereTokens = 10_000_000
	// maxWhereDeadline limits the stated deadline.
	maxWhereDeadline = 24 * time.Hour
)

// serveWhere tells where a request would go, without sending it. One question is
// answered at a time: each copies the state of a service.
func (p *Process) serveWhere(w http.ResponseWriter, r *http.Request) {
	question, err := parseWhere(r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.whereMu.Lock()
	answer := p.relay.Where(question)
	p.whereMu.Unlock()
	body, err := json.Marshal(answer)
	if err != nil {
		p.cfg.Log.WithError(err).Error("answer of where not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		p.cfg.Log.WithError(err).Debug("writing the answer of where failed")
	}
}

// parseWhere reads the query of a question. Its errors repeat no values, since a
// caller may have put a key there.
func parseWhere(query string) (relay.WhereRequest, error) {
	r := relay.WhereRequest{Draws: relay.WhereDraws{
		Service: rand.Float64(), Version: rand.Float64(), Share: rand.Float64(), Salt: rand.Uint64(),
	}}
	values, err := url.ParseQuery(query)
	if err != nil {
		return r, errors.New("the query is malformed")
	}
	for name, list := range values {
		if len(list) != 1 {
			return r, errors.Newf("%q is given %d times", name, len(list))
		}
		if err := setWhere(&r, name, list[0]); err != nil {
			return r, err
		}
	}
	if r.Host == "" {
		return r, errors.New("host is missing")
	}
	if u, err := url.ParseRequestURI(r.Path); err != nil || !strings.HasPrefix(r.Path, "/") || u.Path == "" {
		return r, errors.New("path must be the path of a request and begin with /")
	}
	return r, nil
}

func setWhere(r *relay.WhereRequest, name, value string) error {
	var err error
	switch name {
	case "host":
		r.Host = value
	case "path":
		r.Path = value
	case "workspace":
		r.Workspace = jdaw.WorkspaceID(value)
	case "model":
		r.Model = value
	case "session":
		r.Session = value
	case "prompt":
		r.Prompt, err = parsePrompt(value)
	case "promptTokens":
		r.PromptTokens, err = parseTokens(name, value)
	case "deadline":
		r.Deadline, err = time.ParseDuration(value)
		if err != nil || r.Deadline <= 0 || r.Deadline > maxWhereDeadline {
			err = errors.Newf("deadline must be a duration such as 800ms, above 0 and up to %s", maxWhereDeadline)
		}
	case "serviceDraw":
		r.Draws.Service, err = parseDraw(name, value)
	case "versionDraw":
		r.Draws.Version, err = parseDraw(name, value)
	case "shareDraw":
		r.Draws.Share, err = parseDraw(name, value)
	case "salt":
		if r.Draws.Salt, err = strconv.ParseUint(value, 10, 64); err != nil {
			err = errors.New("salt must be a whole number of 64 bits")
		}
	default:
		err = errors.Newf("%q is no parameter", name)
	}
	return err
}

// parsePrompt reads the parts ID:TOKENS,... of a prompt. An id may contain colons.
func parsePrompt(s string) ([]jdaw.PromptPart, error) {
	if s == "" {
		return nil, nil
	}
	var parts []jdaw.PromptPart
	for _, item := range strings.Split(s, ",") {
		i := strings.LastIndexByte(item, ':')
		if i <= 0 {
			return nil, errors.New("prompt must be a list of ID:TOKENS, separated by commas")
		}
		tokens, err := parseTokens("prompt", item[i+1:])
		if err != nil {
			return nil, err
		}
		parts = append(parts, jdaw.PromptPart{ID: item[:i], Tokens: tokens})
	}
	return parts, nil
}

func parseTokens(name, s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 || n > maxWhereTokens {
		return 0, errors.Newf("%s must state tokens as a whole number from 0 to %d", name, maxWhereTokens)
	}
	return n, nil
}

func parseDraw(name, s string) (float64, error) {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x >= 0 && x < 1) {
		return 0, errors.Newf("%s must be a number from 0 to below 1", name)
	}
	return x, nil
}
