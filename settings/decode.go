package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxNesting is the maximum nesting depth of the input. The parser is recursive; without a
// limit, input with many opening brackets would overflow the stack.
const maxNesting = 32

// Defaulter is implemented by pointers to structs with default values. Decode calls
// SetDefaults on each such struct before it decodes the fields, so that absent fields keep
// the default. SetDefaults must change zero fields only: it is also called on structs that
// were built in code.
type Defaulter interface {
	SetDefaults()
}

// Decode reads JSON with comments and trailing commas into the struct that v
// points to and returns all errors: syntax errors, duplicate and unknown fields, and
// values of a wrong type. Fields are matched by their json tag, exactly.
// Valid fields are set even if others have errors.
func Decode(data []byte, v any) Errors {
	_, errs := DecodeWithSourceMap(data, v)
	return errs
}

// DecodeWithSourceMap is like Decode and also returns the positions of the fields, for the
// errors from later checks.
func DecodeWithSourceMap(data []byte, v any) (*SourceMap, Errors) {
	d := decoder{source: newSourceMap(data)}
	root := reflect.ValueOf(v).Elem()
	setDefaults(root)
	if offset, deep := findExcessNesting(data); deep {
		d.addErrorAt(offset, "", fmt.Sprintf("nested deeper than %d levels", maxNesting))
		return d.source, d.errs
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		return d.source, Errors{syntaxError(err)}
	}
	d.decodeValue(tree, root, "")
	return d.source, d.errs.ordered()
}

// SetDefaults calls SetDefaults on the struct that v points to and on the
// structs within it.
func SetDefaults(v any) {
	setDefaults(reflect.ValueOf(v).Elem())
}

func setDefaults(v reflect.Value) {
	if v.Kind() != reflect.Struct {
		return
	}
	if d, ok := v.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			setDefaults(v.Field(i))
		}
	}
}

var parserPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func syntaxError(err error) Error {
	text := err.Error()
	m := parserPosition.FindStringSubmatch(text)
	if m == nil {
		return Error{Line: 1, Column: 1, Message: text}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return Error{Line: line, Column: column, Message: "syntax: " + text[len(m[0]):]}
}

// findExcessNesting returns the offset of the first bracket that is nested deeper than
// maxNesting levels. It skips strings and comments.
func findExcessNesting(data []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		}
		if depth > maxNesting {
			return i, true
		}
	}
	return 0, false
}

func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

func skipComment(data []byte, i int) int {
	rest := data[i:]
	end := ""
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(rest[2:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return i + 2 + n + len(end) - 1
}

// decoder decodes one text and collects its errors.
type decoder struct {
	source *SourceMap
	errs   Errors
}

func (d *decoder) addErrorAt(offset int, field, message string) {
	line, column := d.source.position(offset)
	d.errs = append(d.errs, Error{Line: line, Column: column, Field: field, Message: message})
}

// addTypeError adds an error for a value of a type that the field does not accept.
func (d *decoder) addTypeError(in hujson.Value, field, want string) {
	d.source.failed[field] = true
	d.addErrorAt(in.StartOffset, field, fmt.Sprintf("must be %s, not %s", want, describe(in.Value)))
}

func describe(v hujson.ValueTrimmed) string {
	switch v.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	}
	const maxLength = 40
	text := string(v.(hujson.Literal))
	if len(text) > maxLength {
		return text[:maxLength] + "..."
	}
	return text
}

var jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *decoder) decodeValue(in hujson.Value, out reflect.Value, field string) {
	d.source.offsets[field] = in.StartOffset
	pointer := reflect.PointerTo(out.Type())
	switch {
	case pointer.Implements(jsonUnmarshaler):
		d.decodeUnmarshaler(in, out, field)
	case pointer.Implements(textUnmarshaler):
		d.decodeText(in, out, field)
	case out.Kind() == reflect.Pointer:
		d.decodePointer(in, out, field)
	case out.Kind() == reflect.Struct:
		d.decodeStruct(in, out, field)
	case out.Kind() == reflect.Map:
		d.decodeMap(in, out, field)
	case out.Kind() == reflect.Slice:
		d.decodeSlice(in, out, field)
	default:
		d.decodeScalar(in, out, field)
	}
}

func (d *decoder) decodeUnmarshaler(in hujson.Value, out reflect.Value, field string) {
	in = in.Clone()
	in.Standardize()
	if err := json.Unmarshal(in.Pack(), out.Addr().Interface()); err != nil {
		d.source.failed[field] = true
		d.addErrorAt(in.StartOffset, field, err.Error())
	}
}

func (d *decoder) decodeText(in hujson.Value, out reflect.Value, field string) {
	if in.Value.Kind() != '"' {
		d.addTypeError(in, field, "a string")
		return
	}
	text := in.Value.(hujson.Literal).String()
	err := out.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text))
	if err != nil {
		d.source.failed[field] = true
		d.addErrorAt(in.StartOffset, field, err.Error())
	}
}

func (d *decoder) decodePointer(in hujson.Value, out reflect.Value, field string) {
	if in.Value.Kind() == 'n' {
		out.SetZero()
		return
	}
	out.Set(reflect.New(out.Type().Elem()))
	setDefaults(out.Elem())
	d.decodeValue(in, out.Elem(), field)
}

func (d *decoder) decodeStruct(in hujson.Value, out reflect.Value, field string) {
	object, ok := in.Value.(*hujson.Object)
	if !ok {
		d.addTypeError(in, field, "an object")
		return
	}
	byName := fieldsOf(out.Type())
	d.eachMember(object, field, func(name string, m hujson.ObjectMember, path string) {
		i, known := byName[name]
		if !known {
			d.addErrorAt(m.Name.StartOffset, path, "unknown field")
			d.errs[len(d.errs)-1].unknown = true
			return
		}
		d.decodeValue(m.Value, out.Field(i), path)
	})
}

// eachMember calls each for every member of an object, except duplicates, which are errors.
func (d *decoder) eachMember(object *hujson.Object, field string, each func(name string, m hujson.ObjectMember, path string)) {
	seen := make(map[string]bool, len(object.Members))
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := MemberPath(field, name)
		if seen[name] {
			d.addErrorAt(m.Name.StartOffset, path, "the field is given twice")
			continue
		}
		seen[name] = true
		each(name, m, path)
	}
}

// fieldsOf returns the field indexes of a struct type by JSON name.
func fieldsOf(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" && t.Field(i).IsExported() {
			out[name] = i
		}
	}
	return out
}

func (d *decoder) decodeMap(in hujson.Value, out reflect.Value, field string) {
	object, ok := in.Value.(*hujson.Object)
	if !ok {
		d.addTypeError(in, field, "an object")
		return
	}
	t := out.Type()
	out.Set(reflect.MakeMapWithSize(t, len(object.Members)))
	d.eachMember(object, field, func(name string, m hujson.ObjectMember, path string) {
		element := reflect.New(t.Elem()).Elem()
		setDefaults(element)
		d.decodeValue(m.Value, element, path)
		out.SetMapIndex(reflect.ValueOf(name).Convert(t.Key()), element)
	})
}

func (d *decoder) decodeSlice(in hujson.Value, out reflect.Value, field string) {
	array, ok := in.Value.(*hujson.Array)
	if !ok {
		d.addTypeError(in, field, "an array")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		setDefaults(out.Index(i))
		d.decodeValue(element, out.Index(i), IndexPath(field, i))
	}
}

func (d *decoder) decodeScalar(in hujson.Value, out reflect.Value, field string) {
	literal, ok := in.Value.(hujson.Literal)
	kind := in.Value.Kind()
	switch {
	case out.Kind() == reflect.String:
		if !ok || kind != '"' {
			d.addTypeError(in, field, "a string")
			return
		}
		out.SetString(literal.String())
	case out.Kind() == reflect.Bool:
		if !ok || kind != 't' && kind != 'f' {
			d.addTypeError(in, field, "true or false")
			return
		}
		out.SetBool(literal.Bool())
	case !ok || kind != '0':
		d.addTypeError(in, field, "a number")
	default:
		d.decodeNumber(in, string(literal), out, field)
	}
}

func (d *decoder) decodeNumber(in hujson.Value, text string, out reflect.Value, field string) {
	switch {
	case out.CanInt():
		n, err := strconv.ParseInt(text, 10, out.Type().Bits())
		if err != nil {
			d.addTypeError(in, field, fmt.Sprintf("an integer of at most %d bits", out.Type().Bits()))
			return
		}
		out.SetInt(n)
	case out.CanUint():
		n, err := strconv.ParseUint(text, 10, out.Type().Bits())
		if err != nil {
			d.addTypeError(in, field, fmt.Sprintf("an integer of at most %d bits, 0 or more", out.Type().Bits()))
			return
		}
		out.SetUint(n)
	case out.CanFloat():
		n, err := strconv.ParseFloat(text, out.Type().Bits())
		if err != nil {
			d.addTypeError(in, field, "a number within the range of floating point")
			return
		}
		out.SetFloat(n)
	default:
		d.addTypeError(in, field, "absent: the type "+out.Type().String()+" cannot be read")
	}
}
