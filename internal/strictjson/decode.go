package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

var (
	rawType         = reflect.TypeFor[json.RawMessage]()
	deferredType    = reflect.TypeFor[Deferred]()
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
)

func (d *Document) decode(key string, v hujson.Value, into any) {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		panic("strictjson: into must be a pointer")
	}
	d.value(key, v, target.Elem())
}

func (d *Document) value(key string, v hujson.Value, target reflect.Value) {
	d.lines[key] = d.lineAt(v.StartOffset)
	switch {
	case target.Type() == rawType:
		target.SetBytes(standardJSON(v))
		return
	case target.Type() == deferredType:
		target.Set(reflect.ValueOf(Deferred{key: key, value: v}))
		return
	case target.CanAddr() && target.Addr().Type().Implements(unmarshalerType):
		d.custom(key, v, target)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(key, v, target.Elem())
	case reflect.Struct:
		d.object(key, v, target)
	case reflect.Slice:
		d.array(key, v, target)
	case reflect.Map:
		d.mapping(key, v, target)
	default:
		d.literal(key, v, target)
	}
}

func standardJSON(v hujson.Value) []byte {
	c := v.Clone()
	c.Minimize()
	return bytes.TrimSpace(c.Pack())
}

func (d *Document) custom(key string, v hujson.Value, target reflect.Value) {
	u := target.Addr().Interface().(json.Unmarshaler)
	if err := u.UnmarshalJSON(standardJSON(v)); err != nil {
		d.Reject(key, "%s", err.Error())
	}
}

func (d *Document) literal(key string, v hujson.Value, target reflect.Value) {
	if standardText := standardJSON(v); !bytes.Equal(standardText, []byte("null")) {
		if json.Unmarshal(standardText, target.Addr().Interface()) == nil {
			return
		}
	}
	d.Reject(key, "expected %s", typeName(target))
}

func typeName(target reflect.Value) string {
	switch target.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return fmt.Sprintf("a whole number of 0 to %d", uint64(1)<<target.Type().Bits()-1)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	default:
		return "a value of type " + target.Type().String()
	}
}

func (d *Document) array(key string, v hujson.Value, target reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.Reject(key, "expected a list")
		return
	}
	if len(a.Elements) == 0 {
		target.SetZero()
		return
	}
	list := reflect.MakeSlice(target.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		d.value(fmt.Sprintf("%s[%d]", key, i), e, list.Index(i))
	}
	target.Set(list)
}

func (d *Document) mapping(key string, v hujson.Value, target reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Reject(key, "expected an object")
		return
	}
	m := reflect.MakeMap(target.Type())
	seen := map[string]bool{}
	for _, member := range o.Members {
		name := memberName(member)
		if d.repeated(seen, key, name, member) {
			continue
		}
		e := reflect.New(target.Type().Elem()).Elem()
		d.value(join(key, name), member.Value, e)
		m.SetMapIndex(reflect.ValueOf(name), e)
	}
	target.Set(m)
}

func (d *Document) object(key string, v hujson.Value, target reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Reject(key, "expected an object")
		return
	}
	fields := fieldsOf(target)
	seen := map[string]bool{}
	for _, member := range o.Members {
		name := memberName(member)
		if d.repeated(seen, key, name, member) {
			continue
		}
		field, known := fields[name]
		if !known {
			line := d.lineAt(member.Name.StartOffset)
			d.add(line, join(key, name), "unknown key, expected one of %s", names(fields))
			continue
		}
		d.value(join(key, name), member.Value, field)
	}
}

func (d *Document) repeated(seen map[string]bool, key, name string, m hujson.ObjectMember) bool {
	if seen[name] {
		d.add(d.lineAt(m.Name.StartOffset), join(key, name), "repeated key, expected it once")
		return true
	}
	seen[name] = true
	return false
}

func memberName(m hujson.ObjectMember) string {
	l, _ := m.Name.Value.(hujson.Literal)
	return l.String()
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// fieldsOf maps JSON names to the fields of a struct, including those of
// embedded structs.
func fieldsOf(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		f := target.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "":
			for n, inner := range fieldsOf(target.Field(i)) {
				fields[n] = inner
			}
		case !f.IsExported() || name == "-":
		case name == "":
			fields[f.Name] = target.Field(i)
		default:
			fields[name] = target.Field(i)
		}
	}
	return fields
}

func names(fields map[string]reflect.Value) string {
	list := make([]string, 0, len(fields))
	for n := range fields {
		list = append(list, n)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
