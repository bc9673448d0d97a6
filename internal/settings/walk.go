package settings

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Names of the struct tags that describe a key of a form.
const (
	tagName     = "toml"
	tagHelp     = "help"
	tagDefault  = "default"
	tagMin      = "min"
	tagMax      = "max"
	tagRequired = "required"
	tagExample  = "example"
	tagFormat   = "format"
	tagOneOf    = "oneOf"
)

// Formats of texts.
const (
	// formatAddress is an IP address and a port.
	formatAddress = "address"
	// formatFile is the path of a file in PEM form.
	formatFile = "file"
	// formatSecret is a key or token, whose value is never printed.
	formatSecret = "secret"
	// formatHash is the SHA-256 of a secret in hexadecimal digits.
	formatHash = "hash"
)

// minSecretLength is the minimum length of a key or token.
const minSecretLength = 8

const hashBytes = 32

// walk fills the form with the values of a file and reports every problem. The form
// is a pointer to a struct whose tags describe the keys.
func walk(document *document, form any, values map[string]any) {
	walkTable(document, "", reflect.ValueOf(form).Elem(), values)
}

func walkTable(document *document, prefix string, target reflect.Value, values map[string]any) {
	var names []string
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name := field.Tag.Get(tagName)
		names = append(names, name)
		value, present := values[name]
		if !present {
			walkMissing(document, prefix+name, target.Field(i), field)
			continue
		}
		walkValue(document, prefix+name, target.Field(i), field, value)
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !slices.Contains(names, name) {
			document.report(prefix+name, "unknown key: allowed are "+strings.Join(names, ", "))
		}
	}
}

func walkMissing(document *document, key string, target reflect.Value, field reflect.StructField) {
	if defaultValue, ok := field.Tag.Lookup(tagDefault); ok {
		setText(target, defaultValue)
		return
	}
	if field.Tag.Get(tagRequired) != "" {
		document.report(key, "missing: allowed is "+allowed(field))
		return
	}
	if target.Kind() == reflect.Struct {
		walkTable(document, key+".", target, nil)
	}
}

// setText sets the target to the default in its tag.
func setText(target reflect.Value, text string) {
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Int64:
		number, _ := strconv.ParseInt(text, 10, 64)
		target.SetInt(number)
	case reflect.Float64:
		number, _ := strconv.ParseFloat(text, 64)
		target.SetFloat(number)
	default:
	}
}

func walkValue(document *document, key string, target reflect.Value, field reflect.StructField, value any) {
	wrongType := func() { document.report(key, "is "+typeName(value)+": allowed is "+allowed(field)) }
	switch target.Kind() {
	case reflect.Struct, reflect.Pointer:
		table, ok := value.(map[string]any)
		if !ok {
			wrongType()
			return
		}
		if target.Kind() == reflect.Pointer {
			target.Set(reflect.New(target.Type().Elem()))
			target = target.Elem()
		}
		walkTable(document, key+".", target, table)
	case reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			wrongType()
			return
		}
		walkList(document, key, target, field, list)
	case reflect.String:
		text, ok := value.(string)
		if !ok {
			wrongType()
			return
		}
		target.SetString(text)
		if problem := textProblem(field, text); problem != "" {
			document.report(key, problem+": allowed is "+allowed(field))
		}
	default:
		if !setNumber(target, value) {
			wrongType()
			return
		}
		checkRange(document, key, target, field)
	}
}

func walkList(document *document, key string, target reflect.Value, field reflect.StructField, list []any) {
	target.Set(reflect.MakeSlice(target.Type(), len(list), len(list)))
	for i, value := range list {
		itemKey := key
		if target.Type().Elem().Kind() == reflect.Struct {
			itemKey = fmt.Sprintf("%s[%d]", key, i)
		}
		walkValue(document, itemKey, target.Index(i), field, value)
	}
}

func setNumber(target reflect.Value, value any) bool {
	switch number := value.(type) {
	case int64:
		if target.Kind() == reflect.Int64 {
			target.SetInt(number)
			return true
		}
		if target.Kind() == reflect.Float64 {
			target.SetFloat(float64(number))
			return true
		}
	case float64:
		if target.Kind() == reflect.Float64 {
			target.SetFloat(number)
			return true
		}
	case bool:
		if target.Kind() == reflect.Bool {
			target.SetBool(number)
			return true
		}
	}
	return false
}

func checkRange(document *document, key string, target reflect.Value, field reflect.StructField) {
	low, lowErr := strconv.ParseFloat(field.Tag.Get(tagMin), 64)
	high, highErr := strconv.ParseFloat(field.Tag.Get(tagMax), 64)
	if lowErr != nil || highErr != nil {
		return
	}
	value := 0.0
	if target.Kind() == reflect.Int64 {
		value = float64(target.Int())
	} else {
		value = target.Float()
	}
	if !(value >= low && value <= high) {
		document.report(key, fmt.Sprintf("is %v: allowed is %s", target.Interface(), allowed(field)))
	}
}

// textProblem describes the problem with a text, or returns an empty string. It
// never includes a secret.
func textProblem(field reflect.StructField, text string) string {
	switch format := field.Tag.Get(tagFormat); {
	case format == formatAddress && !isAddress(text):
		return fmt.Sprintf("is %q", text)
	case format == formatSecret && len(text) < minSecretLength:
		return fmt.Sprintf("has %d characters", len(text))
	case format == formatHash && !isHash(text):
		return fmt.Sprintf("has %d characters, or characters that are not hexadecimal digits", len(text))
	case text == "":
		return "is empty"
	}
	if choices := field.Tag.Get(tagOneOf); choices != "" && !slices.Contains(strings.Split(choices, " "), text) {
		return fmt.Sprintf("is %q", text)
	}
	return ""
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func isHash(text string) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && len(decoded) == hashBytes
}

// typeName describes the type of a value in a file.
func typeName(value any) string {
	switch value.(type) {
	case string:
		return "a text"
	case int64:
		return "a whole number"
	case float64:
		return "a number with a fraction"
	case bool:
		return "true or false"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}

// allowed describes the values that a key may have.
func allowed(field reflect.StructField) string {
	kind := field.Type
	if kind.Kind() == reflect.Slice {
		if kind.Elem().Kind() == reflect.Struct {
			return "one table [[" + field.Tag.Get(tagName) + "]] for each"
		}
		return "a list, each " + allowedText(field)
	}
	switch kind.Kind() {
	case reflect.Int64:
		return "a whole number from " + field.Tag.Get(tagMin) + " to " + field.Tag.Get(tagMax)
	case reflect.Float64:
		return "a number from " + field.Tag.Get(tagMin) + " to " + field.Tag.Get(tagMax)
	case reflect.Bool:
		return "true or false"
	case reflect.Struct, reflect.Pointer:
		return "a table"
	default:
		return allowedText(field)
	}
}

func allowedText(field reflect.StructField) string {
	if choices := field.Tag.Get(tagOneOf); choices != "" {
		return "one of " + strings.ReplaceAll(choices, " ", ", ")
	}
	switch field.Tag.Get(tagFormat) {
	case formatAddress:
		return `an IP address and a port such as "127.0.0.1:7000"`
	case formatFile:
		return `the path of a file in PEM form such as "` + field.Tag.Get(tagExample) + `"`
	case formatSecret:
		return fmt.Sprintf("a text of %d characters or more", minSecretLength)
	case formatHash:
		return "64 hexadecimal digits, as sapphirectl hash-key prints them"
	default:
		return `a text such as "` + field.Tag.Get(tagExample) + `"`
	}
}
