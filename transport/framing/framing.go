package framing

import (
	"bufio"
	"bytes"
	"io"
	"net/textproto"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// statusLine matches the first line of a response with a status from 100 to 599 and a reason phrase without control bytes (RFC 9112,
// section 4, and RFC 9110, section 15). It leaves out 101, which answers a request to upgrade the connection: no request here is one.
var statusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) (?:10[02-9]|1[1-9][0-9]|[2-5][0-9]{2})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?$`)

// token matches the name of a field (RFC 9110, section 5.6.2).
var token = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+$")

const (
	fieldContentLength    = "Content-Length"
	fieldTransferEncoding = "Transfer-Encoding"
	fieldHost             = "Host"
	fieldTrailer          = "Trailer"
	codingChunked         = "chunked"

	// maxLengthBits is the number of bits of the largest length of a body in bytes.
	maxLengthBits = 63
)

// CheckRequest returns an error if recipients could disagree on the method, target, host or end of a request (RFC 9112,
// sections 3, 5.2 and 6.3). The HTTP library must have read the header.
func CheckRequest(header *protocol.RequestHeader) error {
	if !isVisible(header.Method()) {
		return errors.Errorf("method %q has other than visible characters", header.Method())
	}
	if !isVisible(header.RequestURI()) {
		return errors.Errorf("target %q has other than visible characters", header.RequestURI())
	}
	fields, err := readFields(header.RawHeaders())
	if err != nil {
		return err
	}
	if hosts := fields[fieldHost]; len(hosts) > 1 {
		return errors.Errorf("request names %d hosts", len(hosts))
	}
	return checkEnd(fields, header.IsHTTP11())
}

// CheckResponse returns an error if a head is not that of a response in the protocol, or if recipients could disagree on
// the end of the response. The head begins with the status line and ends with the empty line.
func CheckResponse(head []byte) error {
	line, raw, _ := bytes.Cut(head, []byte("\n"))
	match := statusLine.FindSubmatch(bytes.TrimSuffix(line, []byte("\r")))
	if match == nil {
		return errors.Errorf("status line %q", line)
	}
	fields, err := readFields(raw)
	if err != nil {
		return err
	}
	if err := checkTrailerNames(fields[fieldTrailer]); err != nil {
		return err
	}
	return checkEnd(fields, string(match[1]) != "0")
}

// checkTrailerNames returns an error if a list of announced trailer fields has a name that is none.
func checkTrailerNames(lists []string) error {
	for _, list := range lists {
		for name := range strings.SplitSeq(list, ",") {
			if name = strings.Trim(name, " \t"); name != "" && !token.MatchString(name) {
				return errors.Errorf("trailer name %q", name)
			}
		}
	}
	return nil
}

// CheckTrailer returns an error if the value of an announced trailer field has control bytes. The HTTP library drops fields that are not
// announced.
func CheckTrailer(trailer *protocol.Trailer) error {
	var err error
	trailer.VisitAll(func(name, value []byte) {
		if bytes.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			err = errors.Errorf("trailer %s has value %q", name, value)
		}
	})
	return err
}

// isVisible reports whether no byte is a space or a control character.
func isVisible(text []byte) bool {
	return !bytes.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// readFields returns the header fields by canonical name.
func readFields(raw []byte) (textproto.MIMEHeader, error) {
	if bytes.Contains(raw, []byte("\n ")) || bytes.Contains(raw, []byte("\n\t")) {
		return nil, errors.New("header has a folded line")
	}
	if len(raw) == 0 {
		return nil, nil
	}
	fields, err := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(raw), len(raw))).ReadMIMEHeader()
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrap(err, "read header")
	}
	for name := range fields {
		if strings.Contains(name, " ") {
			return nil, errors.Errorf("field name %q has a space", name)
		}
	}
	return fields, nil
}

// checkEnd returns an error if more than one field says where the body ends, or if one does so in an unknown way. HTTP/1.0
// has no transfer codings.
func checkEnd(fields textproto.MIMEHeader, codingsDefined bool) error {
	lengths, codings := fields[fieldContentLength], fields[fieldTransferEncoding]
	for _, length := range lengths {
		if _, err := strconv.ParseUint(length, 10, maxLengthBits); err != nil {
			return errors.Errorf("message has length %q", length)
		}
	}
	switch {
	case len(lengths) > 1 && len(slices.Compact(slices.Clone(lengths))) > 1:
		return errors.Errorf("message names %d lengths: %q", len(lengths), lengths)
	case len(lengths) > 0 && len(codings) > 0:
		return errors.Errorf("message has length %q and transfer coding %q", lengths[0], codings[0])
	case len(codings) > 1 || len(codings) == 1 && !strings.EqualFold(codings[0], codingChunked):
		return errors.Errorf("message has transfer codings %q", codings)
	case len(codings) > 0 && !codingsDefined:
		return errors.New("message of HTTP/1.0 has a transfer coding")
	default:
		return nil
	}
}
