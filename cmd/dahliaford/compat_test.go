package main

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// scalars lists the scalar values within v in the order of the fields. Neither the names of the fields nor
// the String methods of their types have an influence on the list.
func scalars(v reflect.Value) []string {
	var all []string
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			all = append(all, scalars(v.Field(i))...)
		}
	case reflect.Slice, reflect.Array:
		all = append(all, fmt.Sprint("#", v.Len()))
		for i := range v.Len() {
			all = append(all, scalars(v.Index(i))...)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		all = append(all, fmt.Sprint(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		all = append(all, fmt.Sprint(v.Uint()))
	case reflect.Float32, reflect.Float64:
		all = append(all, fmt.Sprint(v.Float()))
	case reflect.Bool:
		all = append(all, fmt.Sprint(v.Bool()))
	case reflect.String:
		all = append(all, fmt.Sprintf("%q", v.String()))
	case reflect.Interface:
		if v.IsNil() {
			return []string{"nil"}
		}
		all = append(all, scalars(v.Elem())...)
	default:
		panic("cannot list the values of a " + v.Type().String())
	}
	return all
}

// A configuration file that was written for an earlier release must be read as the same values by each later
// release. testdata/config.json is a copy of such a file, config.values lists its values; neither is ever
// edited.
func TestConfigurationOfEarlierRelease(t *testing.T) {
	raw, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/config.values")
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Join(scalars(reflect.ValueOf(cfg)), "\n") + "\n"
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Error(diff)
	}
}
