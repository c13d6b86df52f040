// Package hujson decodes JSON with comments into typed values. It reports all problems, each with its file, line
// and field, instead of stopping at the first.
package hujson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Finding is one problem in an input file.
type Finding struct {
	File string
	// Line counts from 1. Zero means that the line isn't known.
	Line int
	// Field is the path of the value, such as Services[0].VNI.
	Field   string
	Problem string
}

// String returns the finding in the form file:line: field: problem.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Problem)
}

// Findings collects problems and finds the line of each field in the input. It isn't safe for concurrent use. The
// zero value is ready for use.
type Findings struct {
	File string
	List []Finding
	src  []byte
	root hujson.Value
}

// Add adds a problem of the field at a path.
func (f *Findings) Add(path, format string, args ...any) {
	f.List = append(f.List, Finding{
		File:    f.File,
		Line:    f.line(path),
		Field:   path,
		Problem: fmt.Sprintf(format, args...),
	})
}

// Err returns all findings as one error, or nil if there are none.
func (f *Findings) Err() error {
	if len(f.List) == 0 {
		return nil
	}
	return &FindingsError{List: f.List}
}

// line returns the line of the value at a path, or of the innermost enclosing value that the file has, so that a
// missing field is reported at the object that lacks it. It searches the parsed file for each finding, because the
// lines of all values would take more memory than a large file itself.
func (f *Findings) line(path string) int {
	offset := f.root.StartOffset
	v := f.root
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		next, at, ok := child(v, step)
		if !ok {
			break
		}
		v, offset = next, at
	}
	return 1 + bytes.Count(f.src[:min(offset, len(f.src))], []byte{'\n'})
}

// child returns a member of an object or an element of an array, and its offset in the file.
func child(v hujson.Value, step string) (hujson.Value, int, bool) {
	switch x := v.Value.(type) {
	case *hujson.Object:
		for _, m := range x.Members {
			if name, ok := m.Name.Value.(hujson.Literal); ok && name.String() == step {
				return m.Value, m.Name.StartOffset, true
			}
		}
	case *hujson.Array:
		if i, err := strconv.Atoi(step); err == nil && i < len(x.Elements) {
			return x.Elements[i], x.Elements[i].StartOffset, true
		}
	}
	return v, 0, false
}

// FindingsError is an error that contains all findings of one or more files.
type FindingsError struct {
	List []Finding
}

// Error returns the findings, one per line, sorted by line.
func (e *FindingsError) Error() string {
	list := append([]Finding(nil), e.List...)
	sort.SliceStable(list, func(i, j int) bool { return list[i].Line < list[j].Line })
	lines := make([]string, 0, len(list))
	for _, f := range list {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Decode decodes src into a copy of def. Unknown keys and values of the wrong type become findings; the other fields
// are set nevertheless.
func Decode[T any](file string, src []byte, def T) (T, *Findings) {
	f := &Findings{File: file, src: src}
	v, err := hujson.Parse(src)
	if err != nil {
		f.Add("", "%v", err)
		return def, f
	}
	f.root = v
	d := decoder{findings: f}
	d.value("", v, reflect.ValueOf(&def).Elem())
	return def, f
}

type decoder struct {
	findings *Findings
}

func (d *decoder) value(path string, v hujson.Value, dst reflect.Value) {
	_, custom := dst.Addr().Interface().(json.Unmarshaler)
	_, text := dst.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	switch x := v.Value.(type) {
	case *hujson.Object:
		if dst.Kind() == reflect.Struct && !custom && !text {
			d.object(path, x, dst)
			return
		}
	case *hujson.Array:
		if dst.Kind() == reflect.Slice && !custom && !text {
			d.array(path, x, dst)
			return
		}
	}
	d.leaf(path, v, dst)
}

func (d *decoder) object(path string, o *hujson.Object, dst reflect.Value) {
	seen := make(map[string]bool, len(o.Members))
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field := join(path, name)
		if seen[name] {
			d.findings.Add(field, "duplicate key")
			continue
		}
		seen[name] = true
		f, ok := dst.Type().FieldByName(name)
		if !ok || !f.IsExported() {
			d.findings.Add(field, "unknown key")
			continue
		}
		d.value(field, m.Value, dst.FieldByIndex(f.Index))
	}
}

func (d *decoder) array(path string, a *hujson.Array, dst reflect.Value) {
	out := reflect.MakeSlice(dst.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), e, out.Index(i))
	}
	dst.Set(out)
}

func (d *decoder) leaf(path string, v hujson.Value, dst reflect.Value) {
	w := v.Clone()
	w.Standardize()
	if err := json.Unmarshal(w.Pack(), dst.Addr().Interface()); err != nil {
		d.findings.Add(path, "%v", err)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
