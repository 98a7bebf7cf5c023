package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/strict"
)

// Caller sends requests as an application does: it asks any VM for the entry
// list, keeps the answer and connects to the addresses in turn. A refusal that
// may be repeated is sent once more, to another address.
type Caller struct {
	HTTP *http.Client
	// Fixed keeps the caller at the addresses it was given, without asking
	// for the entry list.
	Fixed bool

	mu      sync.Mutex
	known   []string // all addresses ever heard of, for when the list is stale
	entries []string
	until   time.Time
	next    int
}

// Request is one request of a caller.
type Request struct {
	Key     string // workspace key
	Outlet  string
	Method  string
	Path    string
	Body    []byte
	IdemKey string // Idempotency-Key
	Stream  bool
	Session string // session token
	// NewSession is the id of a session to start; the reply has its token.
	NewSession string
	Task       string // kind of task, by which cascades learn
	// Repeatable requests are sent again after a failure that may have run.
	Repeatable bool
}

// Reply is what a caller saw.
type Reply struct {
	Status     int
	Code       jdaw.Code // of a refusal; CodeOK for an answer
	Ran        jdaw.Ran
	RequestID  string
	Model      string // "model@version" of the answer
	Text       string
	Session    string
	FirstToken time.Duration
	Duration   time.Duration
	Tries      int
	Entry      string
}

// NewCaller makes a caller that knows the given addresses.
func NewCaller(addresses []string) *Caller {
	return &Caller{
		HTTP:  &http.Client{Timeout: 2 * time.Minute, Transport: strict.New(strict.Config{})},
		known: append([]string(nil), addresses...),
	}
}

// errTransport is a connection that failed; whether the request ran is unknown.
var errTransport = errors.New("the connection to the entry failed")

// Do sends the request and, if that is safe, sends it once more at another VM.
func (c *Caller) Do(ctx context.Context, q Request) (Reply, error) {
	start := time.Now()
	var reply Reply
	var err error
	for try := 1; try <= 2; try++ {
		entry := c.entry(ctx)
		reply, err = c.send(ctx, entry, q, start)
		reply.Tries = try
		if !c.mayRepeat(q, reply, err) {
			break
		}
		c.forget(entry)
		if isEntryLeaving(reply.Code) {
			c.expire()
		}
	}
	reply.Duration = time.Since(start)
	return reply, err
}

// isEntryLeaving reports whether the refusal says that the entry list of the
// caller is out of date.
func isEntryLeaving(code jdaw.Code) bool {
	return code == jdaw.CodeDataCentreOut || code == jdaw.CodeDraining || code == jdaw.CodeIsolated
}

// expire has the next request ask for the entry list. Other entries of the old
// list may be leaving as well, as all of a data centre that was taken out.
func (c *Caller) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

func (c *Caller) mayRepeat(q Request, reply Reply, err error) bool {
	if err != nil {
		return q.Repeatable || q.IdemKey != ""
	}
	if reply.Code == jdaw.CodeOK {
		return false
	}
	switch reply.Code.Info().Retry {
	case jdaw.RetryYes, jdaw.RetryLater:
		return true
	case jdaw.RetryIdempotent:
		return q.Repeatable
	}
	return false
}

// entry returns the next address to connect to.
func (c *Caller) entry(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.Fixed && (time.Now().After(c.until) || len(c.entries) == 0) {
		c.refresh(ctx)
	}
	list := c.entries
	if len(list) == 0 {
		list = c.known
	}
	c.next++
	return list[c.next%len(list)]
}

func (c *Caller) forget(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []string
	for _, e := range c.entries {
		if e != entry {
			kept = append(kept, e)
		}
	}
	c.entries = kept
}

// refresh asks the known addresses in turn until one answers.
func (c *Caller) refresh(ctx context.Context) {
	for range c.known {
		c.next++
		list, keep, err := c.ask(ctx, c.known[c.next%len(c.known)])
		if err == nil && len(list) > 0 {
			c.entries, c.until = list, time.Now().Add(keep)
			return
		}
	}
}

type entryList struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	KeepSeconds float64 `json:"keepSeconds"`
}

func (c *Caller) ask(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/v1/entries", nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var list entryList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, 0, err
	}
	var out []string
	for _, e := range list.Entries {
		out = append(out, e.Address)
	}
	return out, time.Duration(list.KeepSeconds * float64(time.Second)), nil
}

func (c *Caller) send(ctx context.Context, entry string, q Request, start time.Time) (Reply, error) {
	reply := Reply{Entry: entry}
	r, err := http.NewRequestWithContext(ctx, q.Method, entry+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return reply, err
	}
	// Without this the transport would repeat a keyed POST on a broken
	// connection, and the repeat would not be counted as a try.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+q.Key)
	r.Header.Set("Content-Type", "application/json")
	setHeader(r, "X-Jackdaw-Outlet", q.Outlet)
	setHeader(r, "X-Jackdaw-Session", q.Session)
	setHeader(r, "X-Jackdaw-New-Session", q.NewSession)
	setHeader(r, "X-Jackdaw-Task", q.Task)
	setHeader(r, "Idempotency-Key", q.IdemKey)
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return reply, errors.Mark(err, errTransport)
	}
	defer resp.Body.Close()
	reply.Status = resp.StatusCode
	reply.Session = resp.Header.Get("X-Jackdaw-Session")
	reply.RequestID = resp.Header.Get("X-Jackdaw-Request-Id")
	reply.Model = resp.Header.Get("X-Jackdaw-Model")
	if q.Stream && resp.StatusCode == http.StatusOK {
		return readStream(resp.Body, reply, start)
	}
	return readWhole(resp.Body, reply)
}

func setHeader(r *http.Request, name, value string) {
	if value != "" {
		r.Header.Set(name, value)
	}
}

// refusal is the error object of an answer or of a stream.
type refusal struct {
	Error *struct {
		Code jdaw.Code `json:"code"`
		Ran  jdaw.Ran  `json:"ran"`
	} `json:"error"`
}

type completion struct {
	refusal
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func readWhole(body io.Reader, reply Reply) (Reply, error) {
	b, err := io.ReadAll(body)
	if err != nil {
		return reply, errors.Mark(err, errTransport)
	}
	var answer completion
	// A plain service may answer anything; then the text is the body.
	_ = json.Unmarshal(b, &answer)
	reply.Code, reply.Ran = jdaw.CodeOK, jdaw.DidRun
	if answer.Error != nil && answer.Error.Code != 0 {
		reply.Code, reply.Ran = answer.Error.Code, answer.Error.Ran
		return reply, nil
	}
	reply.Text = string(b)
	if len(answer.Choices) > 0 {
		reply.Text = answer.Choices[0].Message.Content
	}
	return reply, nil
}

func readStream(body io.Reader, reply Reply, start time.Time) (Reply, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			reply.Code, reply.Ran, reply.Text = jdaw.CodeOK, jdaw.DidRun, text.String()
			return reply, nil
		}
		var chunk completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return reply, errors.Wrap(err, "read stream")
		}
		if chunk.Error != nil {
			reply.Code, reply.Ran = chunk.Error.Code, chunk.Error.Ran
			return reply, nil
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
			if reply.FirstToken == 0 {
				reply.FirstToken = time.Since(start)
			}
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return reply, errors.Mark(errors.New("the stream ended without [DONE]"), errTransport)
}
