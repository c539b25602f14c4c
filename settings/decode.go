package settings

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

// decode sets target from text and returns all faults in order of their lines. The TOML library would stop decoding at the
// first value of a wrong type, so it only parses the text; the decoder below continues after a fault.
func decode(text string, target any, check func() []Fault) []Fault {
	var parsed map[string]any
	if _, err := toml.Decode(text, &parsed); err != nil {
		return []Fault{syntaxFault(err)}
	}
	d := &decoder{}
	d.table("", parsed, reflect.ValueOf(target).Elem())
	if check != nil {
		d.addForNewKeys(check())
	}
	lines := indexLines(text)
	for i := range d.faults {
		d.faults[i].Line = lines.lineOf(d.faults[i].Key)
	}
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return d.faults
}

// syntaxFault returns the fault of a file that is not valid TOML. Nothing after the fault can be checked.
func syntaxFault(err error) Fault {
	fault := Fault{Message: err.Error(), Remedy: "write valid TOML"}
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		fault.Line = parseErr.Position.Line
		fault.Message = parseErr.Message
		if fault.Message == "" {
			fault.Message = parseErr.Error()
		}
	}
	return fault
}

// decoder sets values by reflection and collects the faults of a file.
type decoder struct {
	faults []Fault
}

func (d *decoder) add(key, remedy, format string, args ...any) {
	d.faults = append(d.faults, Fault{Key: key, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// addForNewKeys adds the faults of keys that have none yet. A value of a wrong type leaves its default or
// zero in the field, which would otherwise be reported a second time.
func (d *decoder) addForNewKeys(faults []Fault) {
	known := make(map[string]bool, len(d.faults))
	for _, f := range d.faults {
		known[f.Key] = true
	}
	for _, f := range faults {
		if !known[f.Key] {
			d.faults = append(d.faults, f)
		}
	}
}

// table sets the fields of the struct v from a TOML table.
func (d *decoder) table(prefix string, values map[string]any, v reflect.Value) {
	fields := fieldsOf(v)
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		key := joinKey(prefix, name)
		field, ok := fields[name]
		if !ok {
			d.add(key, "remove it or use one of: "+strings.Join(sortedNames(fields), ", "), "unknown key")
			continue
		}
		d.value(key, values[name], field)
	}
}

// value sets v from one TOML value.
func (d *decoder) value(key string, value any, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		if table, ok := value.(map[string]any); ok {
			d.table(key, table, v)
			return
		}
	case reflect.Slice:
		if d.list(key, value, v) {
			return
		}
	default:
		if setScalar(value, v) {
			return
		}
	}
	d.add(key, "write "+expectedType(v), "has a value of type %s", tomlTypeName(value))
}

// list sets the slice v from a TOML array or array of tables. It returns false if value is neither.
func (d *decoder) list(key string, value any, v reflect.Value) bool {
	elements := reflect.ValueOf(value)
	if elements.Kind() != reflect.Slice {
		return false
	}
	list := reflect.MakeSlice(v.Type(), elements.Len(), elements.Len())
	for i := range elements.Len() {
		d.value(fmt.Sprintf("%s[%d]", key, i), elements.Index(i).Interface(), list.Index(i))
	}
	v.Set(list)
	return true
}

// setScalar sets v and returns true if value has its type. A floating-point field accepts an integer, too.
func setScalar(value any, v reflect.Value) bool {
	switch value := value.(type) {
	case string:
		if v.Kind() == reflect.String {
			v.SetString(value)
			return true
		}
	case bool:
		if v.Kind() == reflect.Bool {
			v.SetBool(value)
			return true
		}
	case int64:
		if v.CanInt() && !v.OverflowInt(value) {
			v.SetInt(value)
			return true
		}
		if v.CanFloat() {
			v.SetFloat(float64(value))
			return true
		}
	case float64:
		if v.CanFloat() {
			v.SetFloat(value)
			return true
		}
	}
	return false
}

// fieldsOf returns the settable fields of a struct by their TOML names, with those of embedded structs.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			for name, inner := range fieldsOf(v.Field(i)) {
				fields[name] = inner
			}
			continue
		}
		if name := field.Tag.Get("toml"); name != "" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func sortedNames(fields map[string]reflect.Value) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// expectedType describes the TOML type that v expects, for a remedy.
func expectedType(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Struct:
		return "a table"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "an integer without quotes"
}

// tomlTypeName returns the name of the TOML type of a parsed value.
func tomlTypeName(value any) string {
	switch value.(type) {
	case map[string]any:
		return "table"
	case string:
		return "string"
	case bool:
		return "boolean"
	case int64:
		return "integer"
	case float64:
		return "float"
	}
	if reflect.ValueOf(value).Kind() == reflect.Slice {
		return "array"
	}
	return fmt.Sprintf("%T", value)
}

func joinKey(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
