package parser

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is one difference between two documents. An empty Before or After means that the key is absent there.
type Change struct {
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff returns the differences between two documents, sorted by key. Named entities are matched by name.
func Diff(before, after *Document) []Change {
	beforeValues := flatten(before)
	afterValues := flatten(after)
	var changes []Change
	for key, value := range beforeValues {
		if afterValues[key] != value {
			changes = append(changes, Change{Key: key, Before: value, After: afterValues[key]})
		}
	}
	for key, value := range afterValues {
		if _, ok := beforeValues[key]; !ok {
			changes = append(changes, Change{Key: key, After: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

func flatten(doc *Document) map[string]string {
	values := map[string]string{}
	flattenValue("", reflect.ValueOf(*doc), values)
	return values
}

func flattenValue(key string, value reflect.Value, values map[string]string) {
	_, isText := value.Interface().(interface{ MarshalText() ([]byte, error) })
	switch {
	case isText || (value.Kind() != reflect.Struct && value.Kind() != reflect.Slice):
		values[key] = fmt.Sprint(value.Interface())
	case value.Kind() == reflect.Struct:
		for i := range value.NumField() {
			flattenValue(joinKey(key, value.Type().Field(i).Tag.Get("toml")), value.Field(i), values)
		}
	case value.Type().Elem().Kind() != reflect.Struct:
		values[key] = fmt.Sprint(value.Interface())
	default:
		for i := range value.Len() {
			flattenValue(fmt.Sprintf("%s[%s]", key, elementName(value.Index(i), i)), value.Index(i), values)
		}
	}
}

func elementName(element reflect.Value, index int) string {
	if name := element.FieldByName("Name"); name.IsValid() {
		return name.String()
	}
	return fmt.Sprint(index)
}
