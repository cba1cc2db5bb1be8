package group

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestEnds(t *testing.T) {
	cases := []struct {
		name string
		duty func(ctx context.Context) error
		want string
	}{
		{name: "failure", duty: func(context.Context) error { return errors.New("broken") }, want: "task: broken"},
		{name: "panic", duty: func(context.Context) error { panic("broken") }, want: "panic: broken"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g, err := New(context.Background())
			assert.NilError(t, err)
			ended := false
			g.Start("other", func(ctx context.Context) error {
				<-ctx.Done()
				ended = true
				return nil
			})
			g.Start("task", tc.duty)
			err = g.Wait()
			assert.Assert(t, strings.HasPrefix(err.Error(), tc.want), err.Error())
			assert.Assert(t, ended)
		})
	}
}

func TestStopIsNoFailure(t *testing.T) {
	g, err := New(context.Background())
	assert.NilError(t, err)
	g.Start("task", func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	assert.NilError(t, g.Stop())
}

func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name string
		ctx  context.Context
		span time.Duration
		want bool
	}{
		{name: "passes", ctx: context.Background(), span: time.Microsecond, want: true},
		{name: "zero span", ctx: context.Background(), want: true},
		{name: "context ended", ctx: ended, span: time.Hour},
		{name: "context ended, zero span", ctx: ended},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, Sleep(tc.ctx, tc.span), tc.want)
		})
	}
}
