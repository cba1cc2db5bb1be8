package integration

import (
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/state/catalog"
)

func TestZinniactlOutputAndExitCodes(t *testing.T) {
	s, node := singleVMSystem(t)
	change := s.writeFile("change.jsonc", `{
		// One model more.
		"models": [{"name": "owl", "memoryMiB": 100}],
	}`)
	broken := s.writeFile("broken.jsonc", "{\n\"models\": [{\"name\": \"owl\"}]\n}")
	cases := []struct {
		name      string
		arguments []string
		code      int
		output    string
	}{
		{"check with findings", []string{"check", "--against-published", broken}, 3, "broken.jsonc:2: model/owl: memoryMiB: must be greater than zero"},
		{"check without findings", []string{"check", "--against-published", change}, 0, "no findings"},
		{"diff", []string{"diff", change}, 0, "+  model/owl"},
		{"dry run", []string{"apply", "--dry-run", change}, 0, "checked: revision 1"},
		{"apply with findings", []string{"apply", broken}, 3, "model/owl: memoryMiB: must be greater than zero"},
		{"apply", []string{"apply", "--wait", "-m", "an owl", change}, 0, "published: revision 2"},
		{"apply without a change", []string{"apply", change}, 0, "unchanged: revision 2"},
		{"get", []string{"get", "model/owl"}, 0, `"memoryMiB":100`},
		{"get an unknown object", []string{"get", "model/cat"}, 1, "no object matches model/cat"},
		{"history", []string{"history"}, 0, "an owl"},
		{"status", []string{"status"}, 0, "engine-1"},
		{"explain a model", []string{"explain", "crest-shrine"}, 0, "ready on"},
		{"explain a service", []string{"explain", "booking"}, 0, "calls go to the plain service bookings"},
		{"explain an unknown name", []string{"explain", "cat"}, 0, "no published object serves cat"},
		{"dump", []string{"dump", node.entryOperations.String()}, 0, `"vm": "vm-1"`},
		{"delete an object in use", []string{"apply", "--delete", "model/crest"}, 3, `unknown model or version "crest"`},
		{"delete", []string{"apply", "--delete", "model/owl"}, 0, "-  model/owl"},
		{"malformed delete", []string{"apply", "--delete", "owl"}, 2, "expected KIND/NAME"},
		{"unreachable control", []string{"status", "-c", "127.0.0.1:1"}, 5, "connection refused"},
		{"malformed control", []string{"status", "-c", "here"}, 2, `control "here"`},
		{"unknown command", []string{"fly"}, 2, "fly"},
	}
	for _, tc := range cases {
		output, code := s.runZinniactl(tc.arguments...)
		assert.Equal(t, code, tc.code, "%s: %s", tc.name, output)
		assert.Assert(t, strings.Contains(output, tc.output), "%s: %s", tc.name, output)
	}
	output, code := s.runZinniactl("get", "model", "--output", "json")
	assert.Equal(t, code, 0, output)
	var objects []catalog.Object
	assert.NilError(t, json.Unmarshal([]byte(output), &objects))
	assert.Equal(t, len(objects), 1)
}

func TestCheckSettingsReportsFindings(t *testing.T) {
	s := newSystem(t, "kumamoto-a")
	file := s.writeFile("entry.jsonc", `{"process": {"name": "vm-1"}, "controls": ["127.0.0.1:1"], "drainWait": "1s"}`)
	run := func(arguments ...string) (string, int) {
		command := exec.Command(filepath.Join(binaries, "zinniaroute"), append([]string{"entry", "--settings", file}, arguments...)...)
		output, _ := command.CombinedOutput()
		return string(output), command.ProcessState.ExitCode()
	}
	output, code := run("--check-settings")
	assert.Equal(t, code, 3, output)
	for _, finding := range []string{"process.domain: missing", "process.operations: missing", "listen: missing"} {
		assert.Assert(t, strings.Contains(output, finding), output)
	}
	output, code = run("--check-settings", "--domain", "kumamoto-a", "--listen", "127.0.0.1:2", "--operations", "127.0.0.1:3")
	assert.Equal(t, code, 0, output)
	assert.Assert(t, strings.Contains(output, `"drainWait": "1s"`), output)
}
