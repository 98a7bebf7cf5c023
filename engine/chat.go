package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
)

// maxEventLine bounds one SSE line, in bytes; a longer one is an engine error.
const maxEventLine = 1 << 20

// Chat implements jdaw.Engine. With a StreamID it resumes a running stream from
// Position; with a Text it starts a new stream that continues the text.
func (c *Client) Chat(ctx context.Context, address string, q jdaw.ChatRequest) (jdaw.ChatStream, error) {
	s := &chatStream{client: c, ctx: ctx, address: address, requestID: q.RequestID}
	if q.StreamID != "" {
		s.id = q.StreamID
		s.offset = q.StreamStart
		s.next = q.Position
		return s, s.reopen()
	}
	body, err := chatBody(q)
	if err != nil {
		return nil, err
	}
	resp, err := c.roundTrip(ctx, q.UseBefore, func(ctx context.Context) (*http.Request, error) {
		r, err := newRequest(ctx, http.MethodPost, address+"/v1/chat/completions", body)
		if err != nil {
			return nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set(headerRequestID, string(q.RequestID))
		return r, nil
	})
	if err != nil {
		return nil, err
	}
	if isRefusal(resp) {
		return nil, refusalOf(resp)
	}
	if isRejection(resp) {
		return nil, jdaw.Fail(jdaw.CodeBadField, "the engine rejected the request: %s", errorText(resp))
	}
	if resp.StatusCode != http.StatusOK {
		return nil, jdaw.Fail(jdaw.CodeUpstreamFailed, "%s answered status %d: %s", resp.Request.URL.Host, resp.StatusCode, errorText(resp))
	}
	s.id = resp.Header.Get(headerStreamID)
	s.offset = q.Position // the engine counts a continuation from 0
	s.next = q.Position
	s.read(resp)
	return s, nil
}

// chatBody overrides the fields that the router controls in the caller's body.
func chatBody(q jdaw.ChatRequest) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(q.Body, &fields); err != nil {
		return nil, jdaw.Fail(jdaw.CodeBrokenJSON, "the body is not a JSON object: %v", err)
	}
	model, err := json.Marshal(q.Version.String())
	if err != nil {
		return nil, errors.Wrap(err, "encode the version")
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["priority"] = json.RawMessage(strconv.Itoa(int(q.Priority)))
	delete(fields, "continue_final_message")
	if q.Text != "" {
		if err := appendPartialAnswer(fields, q.Text); err != nil {
			return nil, err
		}
	}
	body, err := json.Marshal(fields)
	return body, errors.Wrap(err, "encode the body")
}

func appendPartialAnswer(fields map[string]json.RawMessage, text string) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return jdaw.Fail(jdaw.CodeBadField, "messages is not a list: %v", err)
	}
	partial, err := json.Marshal(map[string]string{"role": "assistant", "content": text})
	if err != nil {
		return errors.Wrap(err, "encode the text so far")
	}
	joined, err := json.Marshal(append(messages, partial))
	if err != nil {
		return errors.Wrap(err, "encode the messages")
	}
	fields["messages"] = joined
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	return nil
}

// chatStream reads one answer. It is not safe for concurrent use.
type chatStream struct {
	client      *Client
	ctx         context.Context
	address     string
	requestID   jdaw.RequestID
	id          string
	incarnation string
	leaving     bool
	body        io.ReadCloser
	lines       *bufio.Scanner
	offset      int // of the engine's positions
	next        int // position of the next chunk
	reopened    int // number of times at position next
	final       jdaw.Chunk
	done        bool
}

var _ jdaw.LeavingReporter = (*chatStream)(nil)

// StreamID implements jdaw.ChatStream.
func (s *chatStream) StreamID() string { return s.id }

// UpstreamIncarnation implements jdaw.ChatStream.
func (s *chatStream) UpstreamIncarnation() string { return s.incarnation }

// Leaving implements jdaw.LeavingReporter.
func (s *chatStream) Leaving() bool { return s.leaving }

// Close implements jdaw.ChatStream. A stream that has not ended is cancelled in
// the background; otherwise it would occupy a slot of the engine's batch until
// the engine detects the disconnect.
func (s *chatStream) Close() {
	if s.body != nil {
		if s.done {
			s.drain()
		}
		_ = s.body.Close()
		s.body = nil
	}
	if s.done || s.id == "" {
		return
	}
	s.done = true
	go s.cancel()
}

// drain reads the response to its end, so that the connection can be reused:
// net/http closes the connection of a body that is closed early.
func (s *chatStream) drain() {
	body := s.body
	t := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
	defer t.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxErrorBody))
}

func (s *chatStream) cancel() {
	ctx, stop := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
	defer stop()
	r, err := newRequest(ctx, http.MethodDelete, s.address+"/v1/streams/"+url.PathEscape(s.id), nil)
	if err != nil {
		return
	}
	if resp, err := s.client.transport.RoundTrip(r); err == nil {
		_ = resp.Body.Close()
	}
}

func (s *chatStream) read(resp *http.Response) {
	s.body = resp.Body
	s.incarnation = resp.Header.Get(headerIncarnation)
	s.leaving = resp.Header.Get(headerLeaving) == "true"
	s.lines = bufio.NewScanner(resp.Body)
	s.lines.Buffer(make([]byte, 0, 4<<10), maxEventLine)
}

// reopen requests the stream again from the next position.
func (s *chatStream) reopen() error {
	if s.body != nil {
		_ = s.body.Close()
		s.body = nil
	}
	from := strconv.Itoa(s.next - s.offset)
	resp, err := s.client.roundTrip(s.ctx, time.Time{}, func(ctx context.Context) (*http.Request, error) {
		r, err := newRequest(ctx, http.MethodGet, s.address+"/v1/streams/"+url.PathEscape(s.id)+"?from="+from, nil)
		if err != nil {
			return nil, err
		}
		r.Header.Set(headerRequestID, string(s.requestID))
		return r, nil
	})
	if err != nil {
		return s.broken(err)
	}
	if resp.StatusCode != http.StatusOK {
		s.incarnation = resp.Header.Get(headerIncarnation)
		return jdaw.Fail(jdaw.CodeStreamBroken, "%s cannot resume stream %s: %s", resp.Request.URL.Host, s.id, errorText(resp))
	}
	s.read(resp)
	return nil
}

// broken returns the error of a stream that ended early. The request has run, so
// its code never means "not run".
func (s *chatStream) broken(err error) error {
	if errors.Is(s.ctx.Err(), context.DeadlineExceeded) {
		return jdaw.Fail(jdaw.CodeUpstreamTimeout, "stream %s did not end within the deadline", s.id)
	}
	return jdaw.Fail(jdaw.CodeStreamBroken, "stream %s broke at position %d", s.id, s.next).WithCause(err)
}

// event is the part of a chat.completion.chunk that the router reads.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// Next implements jdaw.ChatStream. Duplicate chunks are dropped; on a gap, the
// stream is reopened at the missing position.
func (s *chatStream) Next() (jdaw.Chunk, error) {
	if s.done {
		return jdaw.Chunk{}, io.EOF
	}
	for {
		position, data, err := s.nextEvent()
		if err != nil {
			return jdaw.Chunk{}, s.broken(err)
		}
		if string(data) == "[DONE]" {
			if !s.final.Final {
				return jdaw.Chunk{}, s.broken(errors.New("the engine sent no finish reason"))
			}
			s.done = true
			return s.final, nil
		}
		var ev event
		if err := json.Unmarshal(data, &ev); err != nil {
			return jdaw.Chunk{}, s.broken(errors.Wrap(err, "decode an event"))
		}
		if ev.Error != nil {
			return jdaw.Chunk{}, s.broken(errors.Newf("the engine reported: %s", ev.Error.Message))
		}
		if ev.Usage != nil {
			s.final.PromptTokens = ev.Usage.PromptTokens
			s.final.OutputTokens = ev.Usage.CompletionTokens
		}
		if len(ev.Choices) == 0 || s.final.Final {
			continue
		}
		if position < 0 {
			position = s.next
		}
		switch {
		case position < s.next:
			continue
		case position > s.next:
			if err := s.fetchGap(); err != nil {
				return jdaw.Chunk{}, err
			}
			continue
		}
		choice := ev.Choices[0]
		if choice.FinishReason != nil {
			// The final chunk is returned after the usage has arrived.
			s.final.Position = s.next
			s.final.Text = choice.Delta.Content
			s.final.Final = true
			s.final.FinishReason = *choice.FinishReason
			continue
		}
		s.next++
		s.reopened = 0
		return jdaw.Chunk{Position: s.next - 1, Text: choice.Delta.Content}, nil
	}
}

// fetchGap fails if the reopened stream lacks the same chunk.
func (s *chatStream) fetchGap() error {
	if s.id == "" || s.reopened > 0 {
		return s.broken(errors.Newf("chunk %d is missing", s.next))
	}
	s.reopened++
	return s.reopen()
}

// nextEvent returns the position, or -1 without one, and the data of the next
// SSE event. The data is valid until the next call.
func (s *chatStream) nextEvent() (int, []byte, error) {
	position := -1
	if s.lines == nil {
		return 0, nil, io.ErrUnexpectedEOF
	}
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.Atoi(string(bytes.TrimSpace(id)))
			if err == nil {
				position = n + s.offset
			}
			continue
		}
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return position, bytes.TrimSpace(data), nil
		}
	}
	if err := s.lines.Err(); err != nil {
		return 0, nil, err
	}
	return 0, nil, io.ErrUnexpectedEOF
}
