package declare

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// object is one JSON object of a file, with the lines of its fields.
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

// parser reads the objects of one file and keeps track of lines.
type parser struct {
	file   string
	data   []byte
	faults Errors
}

func parseFile(file string, data []byte) ([]object, Errors) {
	p := &parser{file: file, data: data}
	dec := json.NewDecoder(bytes.NewReader(data))
	var top json.RawMessage
	if err := dec.Decode(&top); err != nil {
		p.syntax(err)
		return nil, p.faults
	}
	end := int(dec.InputOffset())
	if rest := bytes.TrimSpace(data[end:]); len(rest) > 0 {
		p.fault(len(data)-len(rest), "", "data after the declarations")
	}
	start := end - len(top)
	if top[0] == '[' {
		return p.array(top, start), p.faults
	}
	if o, ok := p.object(top, start); ok {
		return []object{o}, p.faults
	}
	return nil, p.faults
}

func (p *parser) array(raw json.RawMessage, base int) []object {
	var out []object
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token()
	for dec.More() {
		value, start, ok := p.value(dec, base)
		if !ok {
			return out
		}
		if o, ok := p.object(value, start); ok {
			out = append(out, o)
		}
	}
	return out
}

// object splits a JSON object into its fields. raw is valid JSON, which starts
// at the given offset of the file.
func (p *parser) object(raw json.RawMessage, start int) (object, bool) {
	o := object{file: p.file, line: p.line(start)}
	if raw[0] != '{' {
		p.fault(start, "", "expected an object {kind, name, ...}")
		return o, false
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token()
	for dec.More() {
		key, err := dec.Token()
		name, isString := key.(string)
		if err != nil || !isString {
			p.fault(start, "", "expected a field name")
			return o, false
		}
		line := p.line(start + int(dec.InputOffset()))
		value, _, ok := p.value(dec, start)
		if !ok {
			return o, false
		}
		if _, twice := o.lookup(name); twice {
			p.faults = append(p.faults, &Error{File: p.file, Line: line, Field: name, Reason: "field is given twice"})
			continue
		}
		o.fields = append(o.fields, field{name: name, line: line, value: value})
	}
	return o, true
}

// value decodes the next value and returns its offset in the file.
func (p *parser) value(dec *json.Decoder, base int) (json.RawMessage, int, bool) {
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		p.syntax(err)
		return nil, 0, false
	}
	return raw, base + int(dec.InputOffset()) - len(raw), true
}

func (p *parser) line(offset int) int {
	offset = min(max(offset, 0), len(p.data))
	return 1 + bytes.Count(p.data[:offset], []byte{'\n'})
}

func (p *parser) fault(offset int, name, reason string) {
	p.faults = append(p.faults, &Error{File: p.file, Line: p.line(offset), Field: name, Reason: reason})
}

func (p *parser) syntax(err error) {
	var syn *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF):
		p.fault(0, "", "file is empty")
	case errors.Is(err, io.ErrUnexpectedEOF):
		p.fault(len(p.data), "", "file is truncated: JSON ends in the middle of a value")
	case errors.As(err, &syn):
		p.fault(int(syn.Offset)-1, "", "not JSON: "+syn.Error())
	default:
		p.fault(0, "", "not JSON: "+err.Error())
	}
}
