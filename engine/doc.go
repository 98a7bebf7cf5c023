// Package engine is the client of model engines, of plain services and of the
// rating service.
//
// The codes of its errors state whether the upstream can have run the request.
// CodeUpstreamConnection and CodeDeadline mean that no byte of the request was
// or will be written; CodeUpstreamRefused means that the upstream reported that
// it did not run it (status 503 or 404 with X-Not-Run: true). Once a byte has
// been written, a broken connection is CodeOutcomeUnknown, and so is a response that
// package strict rejects.
//
// The protocol of an engine: the OpenAI chat completions API with SSE, where
// each event has the position of its chunk as id and the response header
// X-Stream-Id identifies the stream. GET /v1/streams/<id>?from=N replays a
// stream from a position, DELETE /v1/streams/<id> cancels it. To continue an
// answer at another engine, the request ends with an assistant message that
// holds the text so far, and sets continue_final_message.
//
// # Usage
//
//	c := engine.New(engine.Config{})
//	defer c.Close()
//	stream, err := c.Chat(ctx, "http://10.0.0.7:8000", jdaw.ChatRequest{...})
//	for err == nil {
//		chunk, err = stream.Next()
//	}
//	answer, err := c.Call(ctx, address, jdaw.ServiceCall{...})
//	rating, err := engine.NewRater(c, "http://10.0.0.9:8000").Rate(ctx, jdaw.RateRequest{...})
package engine
