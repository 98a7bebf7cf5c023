package demo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"jackdawbarrow"
)

// Work makes the requests of a deployment's applications.
type Work struct {
	shape   Shape
	secrets Secrets
	random  *rand.Rand
	n       int
}

// NewWork makes a source of requests; the same seed gives the same requests.
func NewWork(shape Shape, secrets Secrets, seed uint64) *Work {
	return &Work{shape: shape, secrets: secrets, random: rand.New(rand.NewPCG(seed, 0))}
}

// Job is a request with the name of its kind, for the report.
type Job struct {
	Kind    string
	Request Request
}

// rulebookSections make a prompt prefix that many requests share.
const rulebookSections = 40

func rulebook(name string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Rulebook of %s.\n", name)
	for i := 1; i <= rulebookSections; i++ {
		fmt.Fprintf(&b, "Section %d. Each entry is timed, counted and presented; a cut or a broken shell adds %d seconds.\n", i, i%5+1)
	}
	return b.String()
}

// Next returns the next job: mostly chat, some look-ups, few orders.
func (g *Work) Next() Job {
	g.n++
	w := jdaw.WorkspaceID(g.shape.Workspaces[g.random.IntN(len(g.shape.Workspaces))])
	q := Request{Key: g.secrets.Workspaces[w], Outlet: "counter", Method: "POST"}
	switch p := g.random.IntN(100); {
	case p < 35:
		return g.summary(q, w)
	case p < 60:
		return g.question(q)
	case p < 90:
		return g.lookUp(q)
	default:
		return g.order(q)
	}
}

// summary asks the cascade for a text from a long rulebook, as a stream.
func (g *Work) summary(q Request, w jdaw.WorkspaceID) Job {
	q.Outlet, q.Stream, q.Repeatable = "office", true, true
	q.Path = "/v1/chat/completions"
	q.Body = ChatBody("cascade", true, rulebook(string(w)), fmt.Sprintf("Draft the scoring summary of heat %d.", g.n))
	return Job{Kind: "scoring summary", Request: q}
}

// question asks the cheapest model for a short answer.
func (g *Work) question(q Request) Job {
	q.Stream, q.Repeatable = true, true
	q.Path = "/v1/chat/completions"
	q.Body = ChatBody(g.shape.Models[0].Name, true, "Answer visitors in one sentence.", fmt.Sprintf("When does heat %d begin?", g.n))
	return Job{Kind: "visitor question", Request: q}
}

// lookUp reads from the plain service.
func (g *Work) lookUp(q Request) Job {
	q.Method, q.Repeatable = "GET", true
	q.Path = fmt.Sprintf("/v1/services/%s/results/%d", g.shape.PlainKind, g.random.IntN(50))
	return Job{Kind: "look-up", Request: q}
}

// order is a call that must run at most once.
func (g *Work) order(q Request) Job {
	q.Path = fmt.Sprintf("/v1/services/%s/orders", g.shape.PlainKind)
	q.IdemKey = fmt.Sprintf("order-%d", g.n)
	q.Body = []byte(fmt.Sprintf(`{"order":%q}`, q.IdemKey))
	return Job{Kind: "order with a key", Request: q}
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatCall struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

// ChatBody makes the body of a chat request; an empty system text is left out.
func ChatBody(model string, stream bool, system, user string) []byte {
	call := chatCall{Model: model, Stream: stream}
	if system != "" {
		call.Messages = append(call.Messages, chatMessage{Role: "system", Content: system})
	}
	call.Messages = append(call.Messages, chatMessage{Role: "user", Content: user})
	b, err := json.Marshal(call)
	if err != nil {
		panic(err) // strings always encode
	}
	return b
}
