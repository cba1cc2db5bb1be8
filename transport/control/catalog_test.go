package control

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/publication"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/settings"
)

// The integration tests can't detect a VM that applies an older head: no source gives it one.
func TestOlderCatalogIsIgnored(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := New(now, settings.Control{}, eventlog.New(io.Discard, logrus.InfoLevel, "p", "d"))
	for _, step := range []struct{ offered, expected uint64 }{{5, 5}, {3, 5}, {5, 5}, {6, 6}} {
		head, err := json.Marshal(publication.Head{Revision: step.offered})
		assert.NilError(t, err)
		assert.NilError(t, c.applyCatalog(now, head, nil, "test"))
		assert.Equal(t, c.shared.catalog.snapshot.Head.Revision, step.expected)
	}
}
