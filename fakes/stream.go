package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stream is a running answer. It goes on without a reader for ResumeFor.
type stream struct {
	id       string
	version  string
	tokens   []string
	from     int // index of the first token of this stream
	reason   string
	prompt   int
	mu       sync.Mutex
	done     int // tokens made
	finished bool
	broken   bool
	readers  int
	changed  chan struct{}
	cancel   chan struct{}
	once     sync.Once
}

func (e *Engine) generate(s *stream, first, slow time.Duration) {
	for i := range s.tokens {
		wait := first
		if i > 0 {
			wait = e.tokenTime() + slow
		}
		if !s.sleep(wait) {
			return
		}
		s.mu.Lock()
		s.done = i + 1
		s.wake()
		s.mu.Unlock()
	}
	s.mu.Lock()
	s.finished = true
	s.wake()
	s.mu.Unlock()
	// Finished streams stay readable for a resume.
	if s.sleep(e.cfg.ResumeFor) {
		e.drop(s)
	}
}

// tokenTime grows with the batch, by half at full capacity.
func (e *Engine) tokenTime() time.Duration {
	if e.cfg.PerToken == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.PerToken + e.cfg.PerToken*time.Duration(e.running)/time.Duration(2*e.cfg.Capacity)
}

func (e *Engine) drop(s *stream) {
	e.mu.Lock()
	delete(e.streams, s.id)
	e.mu.Unlock()
	s.stop(false)
}

func (s *stream) sleep(d time.Duration) bool {
	if d <= 0 {
		select {
		case <-s.cancel:
			return false
		default:
			return true
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.cancel:
		return false
	case <-t.C:
		return true
	}
}

// wake is called with the lock held.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) stop(broken bool) {
	s.once.Do(func() { close(s.cancel) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = s.broken || broken || !s.finished
	s.wake()
}

// wait returns the number of tokens made once it exceeds pos or the stream ends.
func (s *stream) wait(r *http.Request, pos int) (done int, finished, ok bool) {
	for {
		s.mu.Lock()
		done, finished, broken, changed := s.done, s.finished, s.broken, s.changed
		s.mu.Unlock()
		if done > pos || finished {
			return done, finished, true
		}
		if broken {
			return done, false, false
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return 0, false, false
		}
	}
}

func (e *Engine) attach(s *stream) {
	s.mu.Lock()
	s.readers++
	s.mu.Unlock()
}

// detach cancels the stream if no reader comes back within ResumeFor.
func (e *Engine) detach(s *stream) {
	s.mu.Lock()
	s.readers--
	left := s.readers == 0 && !s.finished
	s.mu.Unlock()
	if !left {
		return
	}
	time.AfterFunc(e.cfg.ResumeFor, func() {
		s.mu.Lock()
		alone := s.readers == 0 && !s.finished
		s.mu.Unlock()
		if alone {
			e.drop(s)
		}
	})
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, pos, cut int, usage bool) {
	e.attach(s)
	defer e.detach(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerStreamID, s.id)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	e.mu.Lock()
	fault := e.fault
	e.mu.Unlock()
	if r.Method == http.MethodGet {
		fault = EngineFault{}
	}
	for {
		done, finished, ok := s.wait(r, pos)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		for ; pos < done; pos++ {
			if cut >= 0 && pos >= cut {
				_ = rc.Flush()
				panic(http.ErrAbortHandler)
			}
			if fault.Skip > 0 && pos%fault.Skip == fault.Skip-1 {
				continue
			}
			writeChunk(w, s, pos)
			if fault.Duplicate > 0 && pos%fault.Duplicate == fault.Duplicate-1 {
				writeChunk(w, s, pos)
			}
		}
		if finished && pos >= len(s.tokens) {
			break
		}
		_ = rc.Flush()
	}
	if cut >= 0 {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":%q}]}\n\n", len(s.tokens), s.id, s.version, s.reason)
	if usage {
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n", len(s.tokens)+1, s.id, s.version, s.prompt, len(s.tokens), s.prompt+len(s.tokens))
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
	_ = rc.Flush() // engines flush each event; the end of the body follows apart
}

func writeChunk(w http.ResponseWriter, s *stream, pos int) {
	text, _ := json.Marshal(s.tokens[pos])
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n", pos, s.id, s.version, text)
}

func (e *Engine) serveWhole(w http.ResponseWriter, r *http.Request, s *stream) {
	e.attach(s)
	defer e.detach(s)
	for {
		done, finished, ok := s.wait(r, len(s.tokens)-1)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if finished && done == len(s.tokens) {
			break
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"id": s.id, "object": "chat.completion", "model": s.version,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": s.reason,
			"message": map[string]any{"role": "assistant", "content": strings.Join(s.tokens, "")},
		}},
		"usage": map[string]any{"prompt_tokens": s.prompt, "completion_tokens": len(s.tokens), "total_tokens": s.prompt + len(s.tokens)},
	})
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeFakeError(w, http.StatusBadRequest, "from is not a position", true)
		return
	}
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	ok = ok && !e.fault.ForgetStreams
	w.Header().Set(headerIncarnation, e.incarnation())
	e.mu.Unlock()
	if !ok {
		writeFakeError(w, http.StatusNotFound, "no such stream", true)
		return
	}
	e.serveStream(w, r, s, min(from, len(s.tokens)), -1, true)
}

func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if ok {
		e.drop(s)
	}
	w.WriteHeader(http.StatusNoContent)
}
