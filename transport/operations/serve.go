package operations

import (
	"context"
	"expvar"
	"strings"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

const (
	statusOK          = 200
	statusBadRequest  = 400
	statusUnavailable = 503
)

func init() {
	expvar.Publish("cpuSeconds", expvar.Func(func() any { return cpuTime().Seconds() }))
}

// cpuTime returns the user and system CPU time that the process has used, or zero if it can't be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Source holds the functions of a process that the routes call.
type Source struct {
	// Health reports whether the process accepts new requests.
	Health func() bool
	// State returns the state of the process, which the state route writes as JSON.
	State func(now time.Time) any
	// Where returns where the request that a description in JSON describes would go, or an error about the description. It is nil
	// for processes without the route.
	Where func(description []byte) (any, error)
	// Stop starts a graceful shutdown and returns without waiting for its end.
	Stop func()
}

// Serve adds the routes of operators to a server.
func Serve(server *httpserve.Server, source Source) {
	server.GET(operator.HealthPath, func(_ context.Context, c *app.RequestContext) {
		if !source.Health() {
			c.String(statusUnavailable, "stopping")
			return
		}
		c.String(statusOK, "ok")
	})
	server.GET(operator.StatePath, func(_ context.Context, c *app.RequestContext) {
		c.JSON(statusOK, source.State(time.Now()))
	})
	server.POST(operator.DrainPath, func(_ context.Context, c *app.RequestContext) {
		source.Stop()
		c.String(statusOK, "draining")
	})
	if source.Where != nil {
		server.POST(operator.WherePath, func(_ context.Context, c *app.RequestContext) {
			answer, err := source.Where(c.Request.Body())
			if err != nil {
				c.String(statusBadRequest, err.Error())
				return
			}
			c.JSON(statusOK, answer)
		})
	}
	server.GET(operator.MetricsPath, func(_ context.Context, c *app.RequestContext) {
		c.Data(statusOK, "application/json; charset=utf-8", metrics())
	})
}

// metrics returns the published variables in the JSON form of the expvar package's handler.
func metrics() []byte {
	var output strings.Builder
	output.WriteString("{")
	first := true
	expvar.Do(func(variable expvar.KeyValue) {
		if !first {
			output.WriteString(",")
		}
		first = false
		output.WriteString("\n\"" + variable.Key + "\": " + variable.Value.String())
	})
	output.WriteString("\n}\n")
	return []byte(output.String())
}
