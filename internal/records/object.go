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

// object decodes the fields of a JSON object one by one and collects errors with
// the path of the field. Each field must be decoded exactly once, because decoding
// removes it from fields; rejectUnknownFields reports those that are left.
type object struct {
	path   string
	fields map[string]json.RawMessage
	errs   *[]error
}

// parseObject parses a JSON object. If raw is something else, it records an error
// and returns an object without fields.
func parseObject(path string, raw []byte, errs *[]error) *object {
	o := &object{path: path, errs: errs}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	err := decoder.Decode(&o.fields)
	if err == nil {
		if _, tokenErr := decoder.Token(); !errors.Is(tokenErr, io.EOF) {
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

func (o *object) fieldPath(name string) string {
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
	if path := o.fieldPath(name); path != "" {
		err = fmt.Errorf("%s: %w", path, err)
	}
	*o.errs = append(*o.errs, err)
}

func (o *object) takeField(name string) (json.RawMessage, bool) {
	raw, ok := o.fields[name]
	delete(o.fields, name)
	return raw, ok
}

// decodeField decodes a field into v and reports whether it is present and valid.
func (o *object) decodeField(name string, required bool, v any) bool {
	raw, ok := o.takeField(name)
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
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			err = fmt.Errorf("is a %s, expected %s", typeErr.Value, typeErr.Type)
		}
		o.fail(name, err)
		return false
	}
	return true
}

func (o *object) text(name string, required bool) string {
	var s string
	if o.decodeField(name, required, &s) && required && s == "" {
		o.fail(name, errors.New("is empty"))
	}
	return s
}

func (o *object) boolean(name string) bool {
	var b bool
	o.decodeField(name, false, &b)
	return b
}

// number decodes a required number between low and maxRateValue.
func (o *object) number(name string, low float64) float64 {
	var f float64
	if o.decodeField(name, true, &f) && (math.IsNaN(f) || f < low || f > maxRateValue) {
		o.fail(name, fmt.Errorf("%v is not between %v and %v", f, low, maxRateValue))
	}
	return f
}

func (o *object) integer(name string, low, high, defaultValue int) int {
	n := defaultValue
	if o.decodeField(name, defaultValue < low, &n) && (n < low || n > high) {
		o.fail(name, fmt.Errorf("%d is not between %d and %d", n, low, high))
	}
	return n
}

func (o *object) bytes(name string, length int) []byte {
	var b []byte
	if o.decodeField(name, true, &b) && (len(b) == 0 || (length > 0 && len(b) != length)) {
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

// duration decodes an optional duration of at least 0; it returns -1 if the field
// is absent or empty.
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
	raw, ok := o.takeField(name)
	if !ok {
		o.fail(name, errors.New("is missing"))
		return &object{path: o.fieldPath(name), errs: o.errs}
	}
	return parseObject(o.fieldPath(name), raw, o.errs)
}

// list decodes a required array of objects.
func (o *object) list(name string) []*object {
	var items []json.RawMessage
	if !o.decodeField(name, true, &items) {
		return nil
	}
	out := make([]*object, 0, len(items))
	for i, raw := range items {
		out = append(out, parseObject(fmt.Sprintf("%s[%d]", o.fieldPath(name), i), raw, o.errs))
	}
	return out
}

// rejectUnknownFields records an error for each field that was not decoded.
func (o *object) rejectUnknownFields() {
	names := make([]string, 0, len(o.fields))
	for name := range o.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		o.fail(name, errors.New("unknown field"))
	}
}
