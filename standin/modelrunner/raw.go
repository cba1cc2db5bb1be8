package modelrunner

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// longBodyBytes is the size of a request's body from which an early answer is possible. The kernel buffers less than that.
	longBodyBytes = 3 << 20
	// earlyAnswerTime is the time between an early answer and the reset of its connection.
	earlyAnswerTime = 2 * time.Millisecond
)

// rawFor returns the raw answer to a request of an attempt.
func (f Form) rawFor(attempt string) []byte {
	return []byte(strings.ReplaceAll(f.Raw, AttemptPlaceholder, attempt))
}

// answerEarly returns the raw answer to a long request, if it is to be answered before its body is read, and records that the
// request runs.
func (r *Runner) answerEarly(read []byte) ([]byte, bool) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(read)))
	if err != nil || request.ContentLength < longBodyBytes {
		return nil, false
	}
	form, ok := r.forms.nextEarly()
	if !ok {
		return nil, false
	}
	run := Run{Attempt: request.Header.Get(headerAttempt), Path: request.URL.Path, At: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordRun(run)
	return form.rawFor(run.Attempt), true
}

// nextEarly returns the form of the answer to a long request, if it is an early one.
func (f *forms) nextEarly() (Form, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.form.Early || !f.counts() {
		return Form{}, false
	}
	f.odd++
	return f.form, true
}

// Read reads a part of a request. It answers a request that gets an early answer, and resets the connection.
func (e *extendedConn) Read(p []byte) (int, error) {
	n, err := e.Conn.Read(p)
	if err != nil {
		return n, err
	}
	answer, ok := e.connections.answerEarly(p[:n])
	if !ok {
		return n, nil
	}
	_, _ = e.Conn.Write(answer)
	time.Sleep(earlyAnswerTime)
	if tcp, isTCP := e.Conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = e.Conn.Close()
	return 0, net.ErrClosed
}
