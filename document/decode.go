package document

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Positions maps the path of each decoded value, such as "models[3].name", to its line in the file.
type Positions struct {
	file  string
	lines map[string]int
}

// At returns the position of the value at a path. If the file does not contain the value, it returns the position of
// the nearest enclosing value.
func (p *Positions) At(path string) Position {
	for path != "" {
		if line, ok := p.lines[path]; ok {
			return Position{File: p.file, Line: line}
		}
		path = parentPath(path)
	}
	return Position{File: p.file, Line: p.lines[""]}
}

func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// Decode decodes JSON with comments into the struct that target points to. It returns the position of each value and
// every fault.
func Decode(file string, data []byte, target any) (*Positions, Findings) {
	root, err := hujson.Parse(data)
	if err != nil {
		return &Positions{file: file}, Findings{syntaxFinding(file, err)}
	}
	d := decoder{
		data:      data,
		positions: &Positions{file: file, lines: make(map[string]int)},
	}
	d.decodeValue("", &root, reflect.ValueOf(target).Elem())
	return d.positions, d.findings
}

func syntaxFinding(file string, err error) Finding {
	position := Position{File: file}
	message := err.Error()
	var line, column int
	if _, scanErr := fmt.Sscanf(message, "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		position.Line = line
		_, message, _ = strings.Cut(message, fmt.Sprintf("column %d: ", column))
	}
	return Finding{Position: position, Message: message}
}

type decoder struct {
	data      []byte
	positions *Positions
	findings  Findings
}

func (d *decoder) report(path, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	if path != "" {
		message = path + ": " + message
	}
	d.findings = append(d.findings, Finding{Position: d.positions.At(path), Message: message})
}

func (d *decoder) decodeValue(path string, node *hujson.Value, target reflect.Value) {
	start := min(node.StartOffset, len(d.data))
	d.positions.lines[path] = 1 + bytes.Count(d.data[:start], []byte("\n"))
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, node, text)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(path, node, target)
	case reflect.Slice:
		d.decodeArray(path, node, target)
	default:
		d.decodeScalar(path, node, target)
	}
}

func (d *decoder) decodeText(path string, node *hujson.Value, target encoding.TextUnmarshaler) {
	literal, ok := node.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.report(path, "expected a string")
		return
	}
	if err := target.UnmarshalText([]byte(literal.String())); err != nil {
		d.report(path, "%v", err)
	}
}

func (d *decoder) decodeObject(path string, node *hujson.Value, target reflect.Value) {
	object, ok := node.Value.(*hujson.Object)
	if !ok {
		d.report(path, "expected an object")
		return
	}
	fields := fieldIndexes(target.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		d.decodeMember(path, &object.Members[i], fields, seen, target)
	}
}

func (d *decoder) decodeMember(
	path string,
	member *hujson.ObjectMember,
	fields map[string]int,
	seen map[string]bool,
	target reflect.Value,
) {
	name := member.Name.Value.(hujson.Literal).String()
	memberPath := strings.TrimPrefix(path+"."+name, ".")
	index, known := fields[name]
	if !known {
		d.positions.lines[memberPath] = 1 + bytes.Count(d.data[:member.Name.StartOffset], []byte("\n"))
		d.report(memberPath, "unknown field; known fields are %s", fieldNames(fields))
		return
	}
	if seen[name] {
		d.report(memberPath, "field given twice")
		return
	}
	seen[name] = true
	d.decodeValue(memberPath, &member.Value, target.Field(index))
}

func (d *decoder) decodeArray(path string, node *hujson.Value, target reflect.Value) {
	array, ok := node.Value.(*hujson.Array)
	if !ok {
		d.report(path, "expected an array")
		return
	}
	items := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], items.Index(i))
	}
	target.Set(items)
}

func (d *decoder) decodeScalar(path string, node *hujson.Value, target reflect.Value) {
	literal, ok := node.Value.(hujson.Literal)
	if !ok {
		d.report(path, "expected a %s", target.Kind())
		return
	}
	err := json.Unmarshal(literal, target.Addr().Interface())
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		d.report(path, "expected a %s, found %s", target.Kind(), typeError.Value)
		return
	}
	if err != nil {
		d.report(path, "%v", err)
	}
}

func fieldIndexes(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func fieldNames(fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
