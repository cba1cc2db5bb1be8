package integration

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
)

const (
	// brokenData is the data of the answers that are broken, and brokenBody their body: a whole event, so that it may also be that of a
	// stream.
	brokenData = "broken"
	brokenBody = "id: 1\ndata: " + brokenData + "\n\n"
	// longBodyBytes is the size of an upload that a runner does not read. The kernel buffers less than that.
	longBodyBytes = 3900 << 10
)

// longBody returns the body of a long upload.
func longBody() []byte { return bytes.Repeat([]byte("x"), longBodyBytes) }

// brokenAnswer returns an answer that names the attempt and has the seal of a runner and a body. The head begins with the given lines.
func brokenAnswer(start string) string {
	return start + "\r\nContent-Type: text/event-stream\r\n" + namedField + "\r\n" + caller.SealHeader + ": seal-broken\r\n\r\n" +
		brokenBody
}

// withLength adds the length of the body of broken answers to a head.
func withLength(start string) string {
	return fmt.Sprintf("%s\r\nContent-Length: %d", start, len(brokenBody))
}

// checkBroken plays each form in which runners answer with requests that may be repeated, with requests that must not be, and with
// streams. No caller may take one for a whole answer.
func (c *formCheck) checkBroken(forms []oddForm) {
	requests := []struct{ name, path, model string }{
		{"safe", safePath, ""},
		{"unsafe", unsafePath, ""},
		{"streamed", modelPath, "large"},
	}
	for _, f := range forms {
		for _, r := range requests {
			before := c.oddAnswers()
			twice, refused, foreign := c.play("vm-1", f.form, r.path, r.model)
			name := r.name + ", " + f.name
			// Runners that are processes of their own do not tell how many of their answers were odd.
			assert.Check(c.t, c.oddAnswers() > before || len(c.processes) > 0, "%s: no answer had the form", name)
			assert.Check(c.t, c.served() > 0, "%s: no request was served", name)
			assert.Check(c.t, c.broken == 0, "%s: %d callers took a broken answer for a whole one", name, c.broken)
			assert.Check(c.t, twice == 0 || r.path == safePath, "%s: %d requests ran twice", name, twice)
			assert.Check(c.t, refused == 0, "%s: %d requests were refused although they ran", name, refused)
			assert.Check(c.t, foreign == 0, "%s: %d callers got an answer to another request", name, foreign)
		}
	}
}

// checkBrokenForms plays each form at a gateway with a path to the runners, and at one whose requests another one sends.
func checkBrokenForms(t *testing.T, forms []oddForm, longBodies bool) {
	t.Helper()
	t.Parallel()
	t.Run("sent", func(t *testing.T) {
		t.Parallel()
		c := newFormCheck(t)
		c.longBodies = longBodies
		c.checkBroken(forms)
	})
	t.Run("forwarded", func(t *testing.T) {
		t.Parallel()
		c := newForwardedFormCheck(t)
		c.longBodies = longBodies
		c.checkBroken(forms)
	})
}

func malformedHeadForms() []oddForm {
	var forms []oddForm
	add := func(name, start string) {
		forms = append(forms, oddForm{name, modelrunner.Form{Raw: brokenAnswer(start)}})
	}
	const ok, interim = "HTTP/1.1 200 OK", "HTTP/1.1 100 Continue\r\n\r\n"
	for _, name := range []string{"X Odd", "X\tOdd", "X\x00Odd", "X\x7fOdd", "X\rOdd", "X-Odd ", " X-Odd"} {
		add(fmt.Sprintf("field name %q", name), withLength(ok)+"\r\n"+name+": odd")
	}
	add("line without a colon", withLength(ok)+"\r\nX-Odd")
	add("length with a blank before the colon", ok+"\r\nContent-Length : 2")
	add("control byte in a field value", withLength(ok)+"\r\nX-Odd: a\x01b")
	for _, length := range []string{"", "2x"} {
		add(fmt.Sprintf("length %q and trailers", length), ok+"\r\nTrailer: X-Odd\r\nContent-Length: "+length+"\r\nTrailer: X-Odd")
	}
	add("line end in the reason phrase", withLength(ok+"\rX-Odd: odd"))
	add("status 000 after an interim answer", withLength(interim+"HTTP/1.1 000 Status"))
	add("field name with a blank after an interim answer", withLength(interim+ok)+"\r\nX Odd: odd")
	return forms
}

// A runner answers with a head that is none in HTTP.
func TestAnswerWithAMalformedHeadReachesCallers(t *testing.T) {
	checkBrokenForms(t, malformedHeadForms(), false)
}

func invalidStatusForms() []oddForm {
	var forms []oddForm
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "2000"} {
		forms = append(forms, oddForm{
			"status " + status, modelrunner.Form{Raw: brokenAnswer(withLength("HTTP/1.1 " + status + " Status"))},
		})
	}
	return forms
}

// A runner answers with a status that HTTP does not define, or that no request asks for.
func TestAnswerWithAnInvalidStatusReachesCallers(t *testing.T) {
	checkBrokenForms(t, invalidStatusForms(), false)
}

func earlyForms() []oddForm {
	return []oddForm{
		{"part of a body without a length", modelrunner.Form{Early: true, Raw: brokenAnswer("HTTP/1.1 200 OK")}},
		{"part of a body of HTTP/1.0", modelrunner.Form{Early: true, Raw: brokenAnswer("HTTP/1.0 200 OK")}},
		{"part of a body with a length", modelrunner.Form{Early: true, Raw: brokenAnswer("HTTP/1.1 200 OK\r\nContent-Length: 1000")}},
		{"part of a body in chunks", modelrunner.Form{Early: true, Raw: strings.Replace(
			brokenAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"), brokenBody,
			fmt.Sprintf("%x\r\n%s\r\n", len(brokenBody), brokenBody), 1,
		)}},
	}
}

// A runner answers a long upload at once and resets the connection while the upload is being written.
func TestPartOfAnAnswerToALongUploadReachesCallers(t *testing.T) {
	checkBrokenForms(t, earlyForms(), true)
}
