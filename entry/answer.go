package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"jackdawbarrow"
)

// errorBody is the error object of section 13 of the design page. Type repeats
// the name because OpenAI clients read it.
type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Code      jdaw.Code      `json:"code"`
	Name      string         `json:"name"`
	Type      string         `json:"type"`
	Message   string         `json:"message"`
	Ran       jdaw.Ran       `json:"ran"`
	Retry     jdaw.Retry     `json:"retry"`
	RequestID jdaw.RequestID `json:"requestId"`
}

func errorJSON(id jdaw.RequestID, coded *jdaw.CodeError) []byte {
	info := coded.Code.Info()
	return mustJSON(errorBody{Error: errorObject{
		Code: coded.Code, Name: info.Name, Type: info.Name, Message: coded.Message,
		Ran: info.Ran, Retry: info.Retry, RequestID: id,
	}})
}

func writeError(w http.ResponseWriter, id jdaw.RequestID, err error) {
	coded := jdaw.CodeOf(err)
	if coded.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(coded.RetryAfterSeconds))
	}
	writeBody(w, coded.Code.Info().Status, "application/json", errorJSON(id, coded))
}

func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// mustJSON encodes types of this package, which cannot fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      jdaw.RequestID     `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// sseWriter writes an answer as server-sent events. The envelope of the chunks
// is encoded once; each token costs one escaped string, one write and one flush.
type sseWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	id      jdaw.RequestID
	created string
	model   string
	prefix  []byte // of a chunk, up to the text
	buf     bytes.Buffer
	enc     *json.Encoder
	next    int // position of the next event
	open    bool
}

const (
	chunkSuffix = "},\"finish_reason\":null}]}\n\n"
	doneEvent   = "data: [DONE]\n\n"
)

func newSSEWriter(w http.ResponseWriter, id jdaw.RequestID, created int64, model string) *sseWriter {
	s := &sseWriter{w: w, rc: http.NewResponseController(w), id: id, created: strconv.FormatInt(created, 10), model: model}
	s.enc = json.NewEncoder(&s.buf)
	s.enc.SetEscapeHTML(false)
	s.prefix = []byte(s.envelope() + `"choices":[{"index":0,"delta":{"content":`)
	return s
}

func (s *sseWriter) envelope() string {
	return `data: {"id":` + string(mustJSON(s.id)) + `,"object":"chat.completion.chunk","created":` + s.created +
		`,"model":` + string(mustJSON(s.model)) + `,`
}

// start writes the response header.
func (s *sseWriter) start() {
	s.open = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *sseWriter) eventID() {
	s.buf.WriteString("id: ")
	s.buf.WriteString(string(s.id))
	s.buf.WriteByte(':')
	s.buf.Write(strconv.AppendInt(s.buf.AvailableBuffer(), int64(s.next), 10))
	s.buf.WriteByte('\n')
	s.next++
}

// chunk writes a text chunk and flushes it.
func (s *sseWriter) chunk(text string) error {
	if !s.open {
		s.start()
	}
	s.buf.Reset()
	s.eventID()
	s.buf.Write(s.prefix)
	if err := s.enc.Encode(text); err != nil {
		return err
	}
	s.buf.Truncate(s.buf.Len() - 1) // the encoder's line feed
	if s.next == 1 {
		s.buf.WriteString(`,"role":"assistant"`)
	}
	s.buf.WriteString(chunkSuffix)
	return s.flush()
}

// finish writes the finish reason, the usage unless u is nil, and the [DONE]
// event in one write.
func (s *sseWriter) finish(reason string, u *usage) error {
	if !s.open {
		s.start()
	}
	s.buf.Reset()
	s.eventID()
	s.buf.WriteString(s.envelope() + `"choices":[{"index":0,"delta":{},"finish_reason":` + string(mustJSON(reason)) + "}]}\n\n")
	if u != nil {
		s.eventID()
		s.buf.WriteString(s.envelope() + `"choices":[],"usage":` + string(mustJSON(u)) + "}\n\n")
	}
	s.buf.WriteString(doneEvent)
	return s.flush()
}

// fail ends a started answer with an error event instead of [DONE].
func (s *sseWriter) fail(coded *jdaw.CodeError) {
	s.buf.Reset()
	s.eventID()
	s.buf.WriteString("data: ")
	s.buf.Write(errorJSON(s.id, coded))
	s.buf.WriteString("\n\n")
	_ = s.flush()
}

func (s *sseWriter) flush() error {
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	return s.rc.Flush()
}
