// Package goldentest helps tests compare messages and stored records, byte for byte, with golden
// files written by an earlier version of the code. Only tests use it.
package goldentest

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// Bytes compares got with the file testdata/golden/name of the package under test. With the flag
// -update it writes the file instead.
func Bytes(tb testing.TB, name string, got []byte) {
	tb.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			tb.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			tb.Fatal(err)
		}
		return
	}
	if want := Read(tb, name); !bytes.Equal(got, want) {
		tb.Errorf("%s: the code writes\n%q\nthe golden file has\n%q", name, got, want)
	}
}

// Read returns the content of testdata/golden/name.
func Read(tb testing.TB, name string) []byte {
	tb.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// JSON compares the JSON form of v with testdata/golden/name, and checks that the file stays the
// same when it is decoded into a value of v's type and encoded again. It is for types that the
// code encodes with encoding/json.
func JSON[T any](tb testing.TB, name string, v T) {
	tb.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		tb.Fatalf("%s: %v", name, err)
	}
	Bytes(tb, name, b)
	var decoded T
	if err := json.Unmarshal(Read(tb, name), &decoded); err != nil {
		tb.Errorf("%s: decoding the golden file: %v", name, err)
		return
	}
	b, err = json.Marshal(decoded)
	if err != nil {
		tb.Fatalf("%s: %v", name, err)
	}
	if want := Read(tb, name); !bytes.Equal(b, want) {
		tb.Errorf("%s: decoded and encoded again it is\n%q\nthe golden file has\n%q", name, b, want)
	}
}

// RequireNonZeroFields reports a test error for every field in v that is zero, so that a golden
// test covers fields added later. It descends into pointers, interfaces, maps (every value) and
// slices (the first element), and requires at least one element in each map and slice. It descends
// into a recursive type once. Fields with the JSON tag "-" are skipped, and so are the paths in
// except. A path joins names with dots: a field's JSON name, or its Go name if it has no tag; "0"
// for a slice's element; a map's key.
func RequireNonZeroFields(tb testing.TB, v any, except ...string) {
	tb.Helper()
	for _, path := range zeros(reflect.ValueOf(v), "", nil, except) {
		tb.Errorf("%T: %s is zero", v, path)
	}
}

// zeros returns the paths of zero values in v. within lists the struct types that enclose v.
func zeros(v reflect.Value, path string, within []reflect.Type, except []string) []string {
	if slices.Contains(except, path) {
		return nil
	}
	if !v.IsValid() || v.IsZero() {
		return []string{path}
	}
	//nolint:exhaustive // All other kinds are plain values, which are not zero here.
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return zeros(v.Elem(), path, within, except)
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			return []string{path}
		}
		return zeros(v.Index(0), join(path, "0"), within, except)
	case reflect.Map:
		return zerosOfMap(v, path, within, except)
	case reflect.Struct:
		return zerosOfStruct(v, path, within, except)
	}
	return nil
}

func zerosOfMap(v reflect.Value, path string, within []reflect.Type, except []string) []string {
	if v.Len() == 0 {
		return []string{path}
	}
	var found []string
	for iter := v.MapRange(); iter.Next(); {
		found = append(found, zeros(iter.Value(), join(path, keyName(iter.Key())), within, except)...)
	}
	return found
}

func zerosOfStruct(v reflect.Value, path string, within []reflect.Type, except []string) []string {
	typ := v.Type()
	if typ.PkgPath() == "time" || slices.Contains(within, typ) {
		return nil
	}
	within = append(slices.Clone(within), typ)
	var found []string
	for i := range typ.NumField() {
		name, ok := fieldName(typ.Field(i))
		if ok {
			found = append(found, zeros(v.Field(i), join(path, name), within, except)...)
		}
	}
	return found
}

// fieldName returns the name of a field within a path, and whether the field is checked.
func fieldName(field reflect.StructField) (string, bool) {
	tag, tagged := field.Tag.Lookup("json")
	if tag == "-" {
		return "", false
	}
	if name, _, _ := strings.Cut(tag, ","); tagged && name != "" {
		return name, true
	}
	return field.Name, true
}

// keyName returns the name of a map's key within a path.
func keyName(key reflect.Value) string {
	switch {
	case key.Kind() == reflect.String:
		return key.String()
	case key.CanInt():
		return strconv.FormatInt(key.Int(), 10)
	case key.CanUint():
		return strconv.FormatUint(key.Uint(), 10)
	}
	return "key"
}

// join appends a name to a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
