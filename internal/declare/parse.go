package declare

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/strictjson"
)

// object is one JSON object of a file, with the line numbers of the object and of its
// fields.
type object struct {
	file   string
	line   int
	fields []field
}

type field struct {
	name  string
	line  int
	value json.RawMessage
}

func (o object) lookup(name string) (field, bool) {
	for _, f := range o.fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

// parser parses the objects of one file and collects its errors.
type parser struct {
	file string
	data []byte
	errs Errors
}

func parseFile(file string, data []byte) ([]object, Errors) {
	p := &parser{file: file, data: data}
	var text *strictjson.TextError
	if errors.As(strictjson.Check(data), &text) {
		p.addError(text.Offset, "", "text "+text.Reason)
		return nil, p.errs
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	var top json.RawMessage
	if err := dec.Decode(&top); err != nil {
		p.addDecodeError(err)
		return nil, p.errs
	}
	end := int(dec.InputOffset())
	if rest := bytes.TrimSpace(data[end:]); len(rest) > 0 {
		p.addError(len(data)-len(rest), "", "data after the declarations")
	}
	start := end - len(top)
	if top[0] == '[' {
		return p.parseArray(top, start), p.errs
	}
	if o, ok := p.parseObject(top, start); ok {
		return []object{o}, p.errs
	}
	return nil, p.errs
}

func (p *parser) parseArray(raw json.RawMessage, base int) []object {
	var out []object
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token()
	for dec.More() {
		value, start, ok := p.nextValue(dec, base)
		if !ok {
			return out
		}
		if o, ok := p.parseObject(value, start); ok {
			out = append(out, o)
		}
	}
	return out
}

// parseObject splits a JSON object into its fields. raw is a valid JSON value, and
// start is its byte offset in the file.
func (p *parser) parseObject(raw json.RawMessage, start int) (object, bool) {
	o := object{file: p.file, line: p.lineAt(start)}
	if raw[0] != '{' {
		p.addError(start, "", "expected an object {kind, name, ...}")
		return o, false
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token()
	for dec.More() {
		key, err := dec.Token()
		name, isString := key.(string)
		if err != nil || !isString {
			p.addError(start, "", "expected a field name")
			return o, false
		}
		line := p.lineAt(start + int(dec.InputOffset()))
		value, _, ok := p.nextValue(dec, start)
		if !ok {
			return o, false
		}
		if _, duplicate := o.lookup(name); duplicate {
			p.errs = append(p.errs, &Error{File: p.file, Line: line, Field: name, Reason: "field is given twice"})
			continue
		}
		o.fields = append(o.fields, field{name: name, line: line, value: value})
	}
	return o, true
}

// nextValue reads the next JSON value from dec and returns it with its byte offset in
// the file. base is the byte offset at which the input of dec starts.
func (p *parser) nextValue(dec *json.Decoder, base int) (json.RawMessage, int, bool) {
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		p.addDecodeError(err)
		return nil, 0, false
	}
	return raw, base + int(dec.InputOffset()) - len(raw), true
}

// lineAt returns the line number of a byte offset, counted from 1.
func (p *parser) lineAt(offset int) int {
	offset = min(max(offset, 0), len(p.data))
	return 1 + bytes.Count(p.data[:offset], []byte{'\n'})
}

func (p *parser) addError(offset int, name, reason string) {
	p.errs = append(p.errs, &Error{File: p.file, Line: p.lineAt(offset), Field: name, Reason: reason})
}

func (p *parser) addDecodeError(err error) {
	var syntaxErr *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF):
		p.addError(0, "", "file is empty")
	case errors.Is(err, io.ErrUnexpectedEOF):
		p.addError(len(p.data), "", "file is truncated: JSON ends in the middle of a value")
	case errors.As(err, &syntaxErr):
		p.addError(int(syntaxErr.Offset)-1, "", "not JSON: "+syntaxErr.Error())
	default:
		p.addError(0, "", "not JSON: "+err.Error())
	}
}
