package entry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"
	"github.com/tidwall/sjson"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

const (
	// maxRuns is the maximum number of endpoints that may run one request. Attempts that no endpoint ran do not count.
	maxRuns    = 4
	maxChoices = 16
)

// modelRequest is a validated request to a model.
type modelRequest struct {
	path        string
	body        []byte
	parsed      openai.Request
	target      catalog.Target
	chat        bool
	demandNames []string
	headers     requestHeaders
}

func (e *Entry) answerModel(ctx context.Context, x *exchange) *failure {
	request, failed := e.readModelRequest(x)
	if failed != nil {
		return failed
	}
	defer httpserve.WatchCaller(x.requestContext)()
	ctx, cancel := context.WithTimeout(ctx, e.settings.RequestLimit.Duration)
	defer cancel()
	e.demand.begin(x.receivedAt, request.demandNames...)
	run := e.newModelRun(x, request)
	failed = run.serve(ctx)
	e.demand.end(time.Now(), failed != nil && failed.outcome == caller.NotRun, request.demandNames...)
	if failed != nil && run.relay != nil {
		failed.outcome = caller.Partial
		run.endStream(failed)
		e.recordFailure(x, failed)
		return nil
	}
	return failed
}

func (e *Entry) readModelRequest(x *exchange) (*modelRequest, *failure) {
	headers, failed := e.readCallerHeaders(x)
	if failed != nil {
		return nil, failed
	}
	body, failed := e.readBody(x.requestContext)
	if failed != nil {
		return nil, failed
	}
	request := &modelRequest{
		path:    string(x.requestContext.Path()),
		body:    body,
		headers: headers,
	}
	request.chat = request.path == openai.ChatPath
	if failed := request.parse(); failed != nil {
		return nil, failed
	}
	return request, e.resolve(request)
}

// readBody reads a request body of at most MaxBodyBytes.
func (e *Entry) readBody(c *app.RequestContext) ([]byte, *failure) {
	if !c.Request.IsBodyStream() {
		return nil, badRequest(openai.CodeBadJSON, "", "the body is missing")
	}
	_ = c.GetConn().SetReadTimeout(e.settings.BodyLimit.Duration)
	limit := int64(e.settings.MaxBodyBytes)
	body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), limit+1))
	if err != nil {
		return nil, bodyFailure(err)
	}
	if int64(len(body)) > limit {
		f := badRequest(openai.CodeTooLarge, "", "the body is larger than this entry takes")
		f.status = statusTooLarge
		return nil, f
	}
	return body, nil
}

func bodyFailure(err error) *failure {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		f := badRequest(codeBodyTooSlow, "", "the body did not arrive in time")
		f.status = statusRequestTimeout
		f.errorType = openai.TypeTimeout
		return f
	}
	return badRequest(openai.CodeBadJSON, "", "the body could not be read: "+err.Error())
}

func (r *modelRequest) parse() *failure {
	if err := json.Unmarshal(r.body, &r.parsed); err != nil {
		return badRequest(openai.CodeBadJSON, fieldOf(err), "the body is not a valid request: "+err.Error())
	}
	switch {
	case r.parsed.Model == "":
		return badRequest("", "model", "model: missing")
	case r.chat && len(r.parsed.Messages) == 0:
		return badRequest("", "messages", "messages: at least one message is needed")
	case !r.chat && r.parsed.Prompt == "":
		return badRequest("", "prompt", "prompt: missing")
	case r.parsed.MaxTokens < 0:
		return badRequest("", "max_tokens", "max_tokens: must not be negative")
	case r.parsed.Choices < 0 || r.parsed.Choices > maxChoices:
		return badRequest("", "n", "n: must be between 1 and 16")
	}
	return nil
}

func fieldOf(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return wrong.Field
	}
	return ""
}

func (e *Entry) resolve(r *modelRequest) *failure {
	target, ok := e.table.resolve(r.parsed.Model)
	if !ok || target.Service != "" {
		f := badRequest(openai.CodeModelNotFound, "model", "unknown model: "+r.parsed.Model)
		f.status = statusNotFound
		f.errorType = openai.TypeNotFound
		return f
	}
	r.target = target
	r.demandNames = []string{target.Unit.Name}
	if target.Adapter != "" {
		r.demandNames = append(r.demandNames, target.Adapter)
	}
	if r.parsed.Model != target.EngineName() {
		r.setField("model", target.EngineName())
	}
	if r.headers.hasPriority {
		r.setField("priority", r.headers.priority)
	}
	return nil
}

// setField sets a field of the JSON body. The body must be a JSON object.
func (r *modelRequest) setField(field string, value any) {
	if body, err := sjson.SetBytes(r.body, field, value); err == nil {
		r.body = body
	}
}

func (e *Entry) listModels(_ context.Context, x *exchange) *failure {
	index, _ := e.table.catalog()
	list := openai.ModelList{Object: openai.ObjectList, Data: []openai.Model{}}
	for _, name := range index.PublicNames() {
		list.Data = append(list.Data, openai.Model{ID: name, Object: openai.ObjectModel, OwnedBy: "zinniaroute"})
	}
	x.requestContext.Header(caller.HeaderOutcome, string(caller.Complete))
	x.requestContext.JSON(statusOK, list)
	return nil
}
