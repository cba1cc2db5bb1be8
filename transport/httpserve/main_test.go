package httpserve

import (
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// Servers of earlier tests still log while they stop.
	DisableLibraryLog()
	os.Exit(m.Run())
}
