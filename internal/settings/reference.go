package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Key describes one key of a settings file.
type Key struct {
	name         string
	allowed      string
	defaultValue string
	required     bool
	help         string
}

// Name returns the dotted key, where the name of an array of tables ends in "[]".
func (key Key) Name() string { return key.name }

// Allowed describes the values that the key may have.
func (key Key) Allowed() string { return key.allowed }

// Default returns the value of a missing key, or an empty string if there is none.
func (key Key) Default() string { return key.defaultValue }

// Required reports whether the key must be given.
func (key Key) Required() bool { return key.required }

// Help describes the key.
func (key Key) Help() string { return key.help }

// EntryReference returns every key of sapphire-entry's settings.
func EntryReference() []Key { return referenceOf("", reflect.TypeFor[entryForm]()) }

// EdgeReference returns every key of sapphire-edge's settings.
func EdgeReference() []Key { return referenceOf("", reflect.TypeFor[edgeForm]()) }

// StewardReference returns every key of sapphire-steward's settings.
func StewardReference() []Key { return referenceOf("", reflect.TypeFor[stewardForm]()) }

func referenceOf(prefix string, form reflect.Type) []Key {
	var keys []Key
	for i := range form.NumField() {
		field := form.Field(i)
		name := prefix + field.Tag.Get(tagName)
		switch kind := field.Type; {
		case kind.Kind() == reflect.Struct:
			keys = append(keys, referenceOf(name+".", kind)...)
		case kind.Kind() == reflect.Pointer:
			keys = append(keys, referenceOf(name+".", kind.Elem())...)
		case kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Struct:
			keys = append(keys, referenceOf(name+"[].", kind.Elem())...)
		default:
			keys = append(keys, Key{
				name: name, allowed: allowed(field), defaultValue: field.Tag.Get(tagDefault),
				required: field.Tag.Get(tagRequired) != "", help: field.Tag.Get(tagHelp),
			})
		}
	}
	return keys
}

// Markdown returns the reference as a table for docs/OPERATORS.md.
func Markdown(keys []Key) string {
	var text strings.Builder
	text.WriteString("| key | allowed | if missing | meaning |\n|---|---|---|---|\n")
	for _, key := range keys {
		missing := key.defaultValue
		switch {
		case key.required:
			missing = "an error"
		case missing == "":
			missing = "off"
		}
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s |\n", key.name, key.allowed, missing, key.help)
	}
	return text.String()
}
