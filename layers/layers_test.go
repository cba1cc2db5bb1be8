package layers

import (
	"os/exec"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "github.com/zinniaroute/zinniaroute/"

// layerOrder lists the layers from top to bottom. A package may import only from its own layer and lower ones. The
// platform adapter shares a layer with the transport, since each calls the other.
var layerOrder = [][]string{
	{"cmd"},
	{"cli"},
	{"embedded"},
	{"load"},
	{"standin"},
	{"transport", "platform"},
	{"protocol"},
	{"coordination"},
	{"state"},
}

// sharedPackages lists the packages that every layer may import.
var sharedPackages = []string{"document", "eventlog", "settings", "samples"}

func layerOf(path string) string {
	layer, _, _ := strings.Cut(strings.TrimPrefix(path, module), "/")
	return layer
}

func layerIndex(path string) int {
	return slices.IndexFunc(layerOrder, func(layer []string) bool { return slices.Contains(layer, layerOf(path)) })
}

func TestPackagesImportOnlySameOrLowerLayers(t *testing.T) {
	output, err := exec.Command("go", "list", "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "../...").Output()
	assert.NilError(t, err)
	for _, line := range strings.Split(strings.TrimSpace(string(output)), "\n") {
		fields := strings.Fields(line)
		from := layerIndex(fields[0])
		if from < 0 {
			continue
		}
		for _, imported := range fields[1:] {
			if !strings.HasPrefix(imported, module) || slices.Contains(sharedPackages, layerOf(imported)) {
				continue
			}
			to := layerIndex(imported)
			assert.Check(t, to >= from, "%s imports %s", fields[0], imported)
		}
	}
}
