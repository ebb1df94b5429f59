package http1

import (
	"bytes"
	"errors"
	"io"
	"net/textproto"
	"strings"
)

// maxRepeatedField is the number of times that a message may repeat a header field of Reader.KeptFields.
const maxRepeatedField = 8

// FieldNames is a set of names of header fields in canonical form.
type FieldNames map[string]bool

// NewFieldNames returns the set of the given names, which may have any case.
func NewFieldNames(names ...string) FieldNames {
	set := FieldNames{}
	for _, name := range names {
		set[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return set
}

// framingFields are the header fields that Reader itself needs.
var framingFields = NewFieldNames("Connection", "Content-Length", "Expect", "Transfer-Encoding")

// nameCheck says whether the name of a header field may contain blanks.
type nameCheck bool

const (
	acceptBlanks nameCheck = false
	// rejectBlanks rejects "Content-Length : 5". This is not the header Content-Length, but other HTTP
	// implementations may accept it as such. A body length that only the other side sees would allow request
	// smuggling.
	rejectBlanks nameCheck = true
)

// head reads the first line and the headers of a message.
func (r *Reader) head(check nameCheck) (line string, header textproto.MIMEHeader, err error) {
	// One blank line before the first line is allowed.
	for attempt := 0; line == "" && attempt < 2 && err == nil; attempt++ {
		line, err = textproto.NewReader(r.buffered).ReadLine()
	}
	if err == nil {
		header = textproto.MIMEHeader{}
		err = r.fields(func(line []byte) error { return r.addField(header, line, check) })
	}
	var malformed textproto.ProtocolError
	switch {
	case err == nil:
		return line, header, nil
	case r.limited.N <= 0:
		return "", nil, protocolError(431, "head over %d bytes", MaxHeadBytes)
	case errors.As(err, &malformed):
		return "", nil, protocolError(400, "malformed head")
	case errors.Is(err, io.EOF) && line != "":
		err = io.ErrUnexpectedEOF
	}
	return "", nil, err
}

// fields reads header fields up to the empty line that ends them, and passes the line of each field to add.
// It keeps one line at a time.
func (r *Reader) fields(add func(line []byte) error) error {
	if first, err := r.buffered.Peek(1); err == nil && (first[0] == ' ' || first[0] == '\t') {
		return textproto.ProtocolError("header begins with a continuation line")
	}
	// The reader of lines is a new one, because it keeps a buffer of the longest line.
	lines := textproto.NewReader(r.buffered)
	for {
		line, err := lines.ReadContinuedLineBytes()
		if len(line) == 0 {
			return err
		}
		if addErr := add(line); addErr != nil {
			return addErr
		}
		if err != nil {
			return err
		}
	}
}

// parseField splits a header line into the name and the value of its field. A name that contains blanks is
// returned as the empty name if check allows it.
func parseField(line []byte, check nameCheck) (name string, value []byte, err error) {
	raw, value, found := bytes.Cut(line, []byte(":"))
	blank := bytes.ContainsAny(raw, " \t")
	switch {
	case found && blank && check == rejectBlanks:
		return "", nil, protocolError(400, "malformed header name")
	case !found || len(raw) == 0 || bytes.ContainsFunc(raw, isNotNameRune) ||
		bytes.ContainsFunc(value, isControlRune):
		return "", nil, textproto.ProtocolError("malformed header line")
	case blank:
		return "", nil, nil
	}
	return textproto.CanonicalMIMEHeaderKey(string(raw)), bytes.TrimLeft(value, " \t"), nil
}

// addField checks a header line and adds its field to the header, if the field is to be kept.
func (r *Reader) addField(header textproto.MIMEHeader, line []byte, check nameCheck) error {
	name, value, err := parseField(line, check)
	if err != nil || name == "" {
		return err
	}
	if r.KeptFields != nil {
		if !r.KeptFields[name] && !framingFields[name] {
			return nil
		}
		if len(header[name]) == maxRepeatedField {
			return protocolError(400, "header %s repeated over %d times", name, maxRepeatedField)
		}
	}
	header[name] = append(header[name], string(value))
	return nil
}

// isNotNameRune reports whether a character may not be part of a header's name. Blanks may, as some senders
// write them before the colon.
func isNotNameRune(c rune) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return false
	}
	return !strings.ContainsRune(" !#$%&'*+-.^_`|~", c)
}

// isControlRune reports whether a character may not be part of a header's value.
func isControlRune(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
