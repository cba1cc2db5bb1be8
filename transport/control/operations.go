package control

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/coordination/publication"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
	"github.com/zinniaroute/zinniaroute/transport/operations"
)

const (
	statusOK         = 200
	statusBadRequest = 400
	publishTimeout   = 20 * time.Second
)

func (c *Control) serveOperations(g *group.Group, listener net.Listener) {
	server := httpserve.NewServer(listener, httpserve.DefaultBounds(), false)
	operations.Serve(server, operations.Source{
		Health: func() bool { return !c.stopping.Load() },
		State:  func(now time.Time) any { return c.state(now) },
		Stop:   c.RequestStop,
	})
	server.POST(operator.ChangesPath, c.publish)
	server.GET(operator.CatalogPath, c.showCatalog)
	server.GET(operator.StatusPath, c.showStatus)
	server.GET(operator.ExplainPath, c.showExplanation)
	server.Start(g, "control operations")
}

func (c *Control) publish(ctx context.Context, rc *app.RequestContext) {
	body, _ := rc.Body()
	var request publication.Request
	if err := json.Unmarshal(body, &request); err != nil {
		rc.JSON(statusBadRequest, publication.Result{Status: publication.StatusInvalid, Message: err.Error()})
		return
	}
	if request.ID == "" {
		rc.JSON(statusBadRequest, publication.Result{Status: publication.StatusInvalid, Message: "id: missing"})
		return
	}
	// A caller that disconnects must not abort a publication in progress.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), publishTimeout)
	defer cancel()
	result := publication.Publish(ctx, time.Now(), c.store, request, publication.RetryDelay)
	c.log.Emit(eventlog.CatalogChangeProcessed, request.ID, string(result.Status), result.Revision)
	rc.JSON(statusOK, result)
}

func (c *Control) showCatalog(_ context.Context, rc *app.RequestContext) {
	active := c.shared.activeCatalog()
	rc.JSON(statusOK, operator.Catalog{
		Revision: active.snapshot.Head.Revision,
		Objects:  active.snapshot.Objects,
		History:  active.snapshot.Head.History,
	})
}

func (c *Control) showStatus(_ context.Context, rc *app.RequestContext) {
	rc.JSON(statusOK, c.status(time.Now()))
}
