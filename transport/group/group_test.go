package group

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestErrorOrPanicStopsAllTasks(t *testing.T) {
	cases := []struct {
		name string
		task func(ctx context.Context) error
		want string
	}{
		{name: "failure", task: func(context.Context) error { return errors.New("broken") }, want: "task: broken"},
		{name: "panic", task: func(context.Context) error { panic("broken") }, want: "panic: broken"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g, err := New(context.Background())
			assert.NilError(t, err)
			otherEnded := false
			g.Start("other", func(ctx context.Context) error {
				<-ctx.Done()
				otherEnded = true
				return nil
			})
			g.Start("task", tc.task)
			err = g.Wait()
			assert.Assert(t, strings.HasPrefix(err.Error(), tc.want), err.Error())
			assert.Assert(t, otherEnded)
		})
	}
}

func TestStopReturnsNoError(t *testing.T) {
	g, err := New(context.Background())
	assert.NilError(t, err)
	g.Start("task", func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	assert.NilError(t, g.Stop())
}

func TestSleepReportsWhetherTheTimePassed(t *testing.T) {
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
