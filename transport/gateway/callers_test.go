package gateway

import (
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

// A key may be in a configuration that this VM lacks. Callers do not retry after 401.
func TestUnknownKeyIsDeniedByAnOldConfiguration(t *testing.T) {
	const delay = 3 * time.Second
	tests := []struct {
		name   string
		age    time.Duration
		delay  time.Duration
		reason string
		status int
	}{
		{"recent", delay - sendMargin - 1, delay, reasonUnknownKey, statusUnauthorized},
		{"old", delay - sendMargin, delay, reasonUnknownKey, statusServiceUnavailable},
		{"old, no key", delay - sendMargin, delay, "no key", statusUnauthorized},
		{"no bound", time.Hour, 0, reasonUnknownKey, statusUnauthorized},
	}
	for _, test := range tests {
		now := time.Unix(1_000_000, 0)
		v := &simulatedVM{name: "vm-1"}
		var s settings.Gateway
		s.Bounds.ConfigurationDelay = document.NewDuration(test.delay)
		v.startWith(now, s)
		v.gateway.syncedAt = now.Add(-test.age)
		c := app.NewContext(0)
		v.gateway.refuseUnauthorized(c, &fleet.Request{ID: "a", ArrivedAt: now}, &routes.Route{}, test.reason)
		assert.Equal(t, c.Response.StatusCode(), test.status, test.name)
		retryAfter := c.Response.Header.Get("Retry-After")
		assert.Equal(t, retryAfter != "", test.status == statusServiceUnavailable, test.name)
	}
}
