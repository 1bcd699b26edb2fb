package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// rejectUnknownFields returns an error for every field of a JSON object that is missing in the
// struct to which target points. conf ignores such fields, which would hide typing errors.
func rejectUnknownFields(content []byte, target any) error {
	var object map[string]any
	if err := json.Unmarshal(content, &object); err != nil {
		return fmt.Errorf("not a JSON object: %w", err)
	}
	return errors.Join(unknownFields("", object, reflect.TypeOf(target).Elem())...)
}

func unknownFields(path string, object map[string]any, structure reflect.Type) []error {
	known := map[string]reflect.Type{}
	for i := range structure.NumField() {
		field := structure.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		known[name] = field.Type
	}
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(object)) {
		full := path + name
		fieldType, ok := known[name]
		if !ok {
			errs = append(errs, fmt.Errorf("%s: unknown field", full))
			continue
		}
		nested, isObject := object[name].(map[string]any)
		if isObject && fieldType.Kind() == reflect.Struct {
			errs = append(errs, unknownFields(full+".", nested, fieldType)...)
		}
	}
	return errs
}
