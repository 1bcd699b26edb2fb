package records

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"time"
)

// object reads one JSON object and collects errors that name the path of the
// field. Each field must be asked for exactly once; done reports the others.
type object struct {
	path   string
	fields map[string]json.RawMessage
	errs   *[]error
}

// parseObject reads an object; what is not an object counts as an empty one
// with an error.
func parseObject(path string, raw []byte, errs *[]error) *object {
	o := &object{path: path, errs: errs}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	err := decoder.Decode(&o.fields)
	if err == nil {
		if _, more := decoder.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("data after the object")
		}
	}
	if err == nil && o.fields == nil {
		err = errors.New("is null, not an object")
	}
	if err != nil {
		o.fail("", fmt.Errorf("not a JSON object: %w", err))
	}
	return o
}

func (o *object) at(name string) string {
	switch {
	case name == "":
		return o.path
	case o.path == "":
		return name
	default:
		return o.path + "." + name
	}
}

func (o *object) fail(name string, err error) {
	if path := o.at(name); path != "" {
		err = fmt.Errorf("%s: %w", path, err)
	}
	*o.errs = append(*o.errs, err)
}

func (o *object) take(name string) (json.RawMessage, bool) {
	raw, ok := o.fields[name]
	delete(o.fields, name)
	return raw, ok
}

// read decodes a field into v and reports whether it was there and valid.
func (o *object) read(name string, required bool, v any) bool {
	raw, ok := o.take(name)
	if !ok {
		if required {
			o.fail(name, errors.New("is missing"))
		}
		return false
	}
	if bytes.Equal(raw, []byte("null")) {
		o.fail(name, errors.New("is null"))
		return false
	}
	if err := json.Unmarshal(raw, v); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			err = fmt.Errorf("is a %s, expected %s", wrong.Value, wrong.Type)
		}
		o.fail(name, err)
		return false
	}
	return true
}

func (o *object) text(name string, required bool) string {
	var s string
	if o.read(name, required, &s) && required && s == "" {
		o.fail(name, errors.New("is empty"))
	}
	return s
}

func (o *object) flag(name string) bool {
	var b bool
	o.read(name, false, &b)
	return b
}

// number reads a finite number of at least low.
func (o *object) number(name string, low float64) float64 {
	var f float64
	if o.read(name, true, &f) && (math.IsNaN(f) || f < low || f > maxNumber) {
		o.fail(name, fmt.Errorf("%v is not between %v and %v", f, low, maxNumber))
	}
	return f
}

func (o *object) integer(name string, low, high, absent int) int {
	n := absent
	if o.read(name, absent < low, &n) && (n < low || n > high) {
		o.fail(name, fmt.Errorf("%d is not between %d and %d", n, low, high))
	}
	return n
}

func (o *object) bytes(name string, length int) []byte {
	var b []byte
	if o.read(name, true, &b) && (len(b) == 0 || (length > 0 && len(b) != length)) {
		o.fail(name, fmt.Errorf("has %d bytes, expected %s", len(b), expectedLength(length)))
	}
	return b
}

func expectedLength(n int) string {
	if n == 0 {
		return "at least 1"
	}
	return strconv.Itoa(n)
}

// duration reads an age; an absent or empty one is negative.
func (o *object) duration(name string) time.Duration {
	text := o.text(name, false)
	if text == "" {
		return -1
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		o.fail(name, err)
		return -1
	}
	if d < 0 {
		o.fail(name, fmt.Errorf("%v is negative", d))
	}
	return d
}

func (o *object) object(name string) *object {
	raw, ok := o.take(name)
	if !ok {
		o.fail(name, errors.New("is missing"))
		return &object{path: o.at(name), errs: o.errs}
	}
	return parseObject(o.at(name), raw, o.errs)
}

// list reads an array of objects.
func (o *object) list(name string) []*object {
	var raws []json.RawMessage
	if !o.read(name, true, &raws) {
		return nil
	}
	out := make([]*object, 0, len(raws))
	for i, raw := range raws {
		out = append(out, parseObject(fmt.Sprintf("%s[%d]", o.at(name), i), raw, o.errs))
	}
	return out
}

// done reports the fields that nobody asked for.
func (o *object) done() {
	names := make([]string, 0, len(o.fields))
	for name := range o.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		o.fail(name, errors.New("unknown field"))
	}
}
