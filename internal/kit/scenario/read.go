package scenario

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is an error in a scenario file or a --set argument.
type Error struct {
	File    string
	Line    int    // from 1; 0 if unknown
	Key     string // as site[1].share
	Message string
}

func (e *Error) Error() string {
	text := e.File
	if e.Line > 0 {
		text += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		text += ": " + e.Key
	}
	return text + ": " + e.Message
}

// Load reads a scenario from a file.
func Load(path string, sets ...string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, sets...)
}

// Parse reads and checks a scenario; the name is used in errors. Each of sets is key=value, the value in TOML, and overrides the
// text.
func Parse(name string, text []byte, sets ...string) (*Scenario, error) {
	tree := map[string]any{}
	if err := decodeTOML(name, text, &tree); err != nil {
		return nil, err
	}
	for base, ok := tree["base"].(string); ok; { // a base may have a base of its own
		baseText, found := BuiltinText(base)
		if !found {
			return nil, &Error{name, keyLines(text)["base"], "base", fmt.Sprintf("the kit brings no scenario %q", base)}
		}
		baseTree := map[string]any{}
		if err := decodeTOML(base, baseText, &baseTree); err != nil {
			return nil, err
		}
		next, more := baseTree["base"].(string)
		tree = mergeTables(baseTree, tree)
		base, ok = next, more
	}
	setByKey := map[string]string{} // by key: the --set argument
	for _, set := range sets {
		if err := applySet(tree, set); err != nil {
			return nil, err
		}
		key, _, _ := strings.Cut(set, "=")
		setByKey[key] = set
	}
	lineOf := keyLines(text)
	errorAt := func(key, format string, args ...any) error {
		if set, ok := setByKey[key]; ok {
			return &Error{File: "--set " + set, Key: key, Message: fmt.Sprintf(format, args...)}
		}
		line := max(lineOf[key], lineOf[key+"[0]"])
		for k := key; line == 0 && strings.ContainsAny(k, ".["); {
			k = k[:strings.LastIndexAny(k, ".[")]
			line = lineOf[k]
		}
		return &Error{name, line, key, fmt.Sprintf(format, args...)}
	}
	s := Default()
	if err := fillStruct(reflect.ValueOf(&s).Elem(), tree, "", errorAt); err != nil {
		return nil, err
	}
	if err := s.validate(errorAt); err != nil {
		return nil, err
	}
	return &s, nil
}

// mergeTables merges the tree above into below: tables key by key, all other values replaced.
func mergeTables(below, above map[string]any) map[string]any {
	for key, value := range above {
		lower, both := below[key].(map[string]any)
		if upper, ok := value.(map[string]any); ok && both {
			value = mergeTables(lower, upper)
		}
		below[key] = value
	}
	return below
}

// decodeTOML parses TOML; errors name the file, line and key.
func decodeTOML(name string, text []byte, to any) error {
	var decodeError *toml.DecodeError
	err := toml.Unmarshal(text, to)
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		return &Error{name, line, strings.Join(decodeError.Key(), "."), strings.TrimPrefix(decodeError.Error(), "toml: ")}
	}
	if err != nil {
		return &Error{File: name, Message: err.Error()}
	}
	return nil
}

// keyLines returns the line of each key, keyed by paths such as site[1].share.
func keyLines(text []byte) map[string]int {
	lineOf, counts, prefix := map[string]int{}, map[string]int{}, ""
	var p unstable.Parser
	p.Reset(text)
	path := func(n *unstable.Node) string {
		var parts []string
		for it := n.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
		}
		return strings.Join(parts, ".")
	}
	line := func(n *unstable.Node) int {
		it := n.Key()
		if !it.Next() {
			return 0
		}
		return p.Shape(it.Node().Raw).Start.Line
	}
	for p.NextExpression() {
		switch e := p.Expression(); e.Kind {
		case unstable.Table:
			prefix = path(e)
			lineOf[prefix] = line(e)
		case unstable.ArrayTable:
			name := path(e)
			prefix = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			lineOf[prefix] = line(e)
		case unstable.KeyValue:
			key := path(e)
			if prefix != "" {
				key = prefix + "." + key
			}
			lineOf[key] = line(e)
		}
	}
	return lineOf
}

// applySet sets a key=value in a tree; a key is a path such as site[1].share or database.workers.
func applySet(tree map[string]any, set string) error {
	key, value, ok := strings.Cut(set, "=")
	if !ok {
		return &Error{File: "--set " + set, Message: "not of the form key=value"}
	}
	var parsed map[string]any
	if toml.Unmarshal([]byte("v = "+value), &parsed) != nil {
		if err := toml.Unmarshal([]byte("v = "+strconv.Quote(value)), &parsed); err != nil {
			return &Error{File: "--set " + set, Key: key, Message: fmt.Sprintf("%q is no value", value)}
		}
	}
	parts := strings.Split(key, ".")
	table := tree
	for i, part := range parts {
		name, rest, indexed := strings.Cut(part, "[")
		if i == len(parts)-1 && !indexed {
			table[name] = parsed["v"]
			return nil
		}
		if indexed {
			n, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
			list, _ := table[name].([]any)
			if err != nil || n < 0 || n >= len(list) {
				return &Error{File: "--set " + set, Key: key, Message: "there is no " + part}
			}
			if table, ok = list[n].(map[string]any); !ok || i == len(parts)-1 {
				return &Error{File: "--set " + set, Key: key, Message: part + " is no single value"}
			}
			continue
		}
		next, ok := table[name].(map[string]any)
		if !ok {
			next = map[string]any{}
			table[name] = next
		}
		table = next
	}
	return nil
}

var (
	durationType  = reflect.TypeFor[Duration]()
	entryDefaults = map[reflect.Type]any{reflect.TypeFor[Site](): defaultSite, reflect.TypeFor[Model](): defaultModel,
		reflect.TypeFor[Class](): defaultClass, reflect.TypeFor[Tenant](): defaultTenant, reflect.TypeFor[Trouble](): defaultTrouble}
)

// errorFunc returns an Error for a key, with its line.
type errorFunc func(key, format string, args ...any) error

// fillStruct sets a struct's fields from a table, key by key, so that each error names its key and line.
func fillStruct(to reflect.Value, table map[string]any, prefix string, errorAt errorFunc) error {
	fields := map[string]reflect.StructField{}
	for i := range to.NumField() {
		f := to.Type().Field(i)
		fields[f.Tag.Get("toml")] = f
	}
	for _, key := range sortedKeys(table) {
		path := prefix + key
		f, ok := fields[key]
		if !ok {
			return errorAt(path, "unknown key")
		}
		if err := setValue(to.FieldByIndex(f.Index), table[key], path, f, errorAt); err != nil {
			return err
		}
	}
	return nil
}

// setValue converts a value to a field's type, checks the bounds in its tags and assigns it.
func setValue(to reflect.Value, value any, key string, f reflect.StructField, errorAt errorFunc) error {
	switch {
	case to.Type() == durationType:
		text, ok := value.(string)
		if !ok {
			return errorAt(key, "a span of time such as \"80ms\" belongs here")
		}
		var d Duration
		if err := d.UnmarshalText([]byte(text)); err != nil {
			return errorAt(key, "%v", err)
		}
		for _, bound := range []struct {
			tag  string
			over bool
		}{{"least", false}, {"most", true}} {
			if b, err := time.ParseDuration(f.Tag.Get(bound.tag)); err == nil && (d.D() > b) == bound.over && d.D() != b {
				return errorAt(key, "%v is %s %v", d.D(), map[bool]string{true: "over", false: "under"}[bound.over], b)
			}
		}
		to.Set(reflect.ValueOf(d))
	case to.Kind() == reflect.Pointer:
		to.Set(reflect.New(to.Type().Elem()))
		return setValue(to.Elem(), value, key, f, errorAt)
	case to.Kind() == reflect.Struct:
		table, ok := value.(map[string]any)
		if !ok {
			return errorAt(key, "a table belongs here")
		}
		return fillStruct(to, table, key+".", errorAt)
	case to.Kind() == reflect.Array || to.Kind() == reflect.Slice:
		list, ok := value.([]any)
		if !ok || to.Kind() == reflect.Array && len(list) != to.Len() {
			if to.Kind() == reflect.Array {
				return errorAt(key, "a list of %d values belongs here", to.Len())
			}
			return errorAt(key, "a list belongs here")
		}
		if to.Kind() == reflect.Slice {
			to.Set(reflect.MakeSlice(to.Type(), len(list), len(list)))
		}
		for i, element := range list {
			if d, ok := entryDefaults[to.Type().Elem()]; ok {
				to.Index(i).Set(reflect.ValueOf(d))
			}
			if err := setValue(to.Index(i), element, fmt.Sprintf("%s[%d]", key, i), f, errorAt); err != nil {
				return err
			}
		}
	case to.Kind() == reflect.String:
		text, ok := value.(string)
		if !ok {
			return errorAt(key, "a text belongs here")
		}
		if allowed := f.Tag.Get("oneof"); allowed != "" && !contains(strings.Split(allowed, ","), text) {
			return errorAt(key, "%q is none of %s", text, strings.ReplaceAll(allowed, ",", ", "))
		}
		to.SetString(text)
	case to.Kind() == reflect.Bool:
		b, ok := value.(bool)
		if !ok {
			return errorAt(key, "true or false belongs here")
		}
		to.SetBool(b)
	default:
		var n float64
		switch v := value.(type) {
		case int64:
			n = float64(v)
		case float64:
			n = v
		default:
			return errorAt(key, "a number belongs here")
		}
		for _, bound := range []struct {
			tag  string
			over bool
		}{{"least", false}, {"most", true}} {
			if b, err := strconv.ParseFloat(f.Tag.Get(bound.tag), 64); err == nil && !(n == b) && !((n < b) == bound.over) {
				return errorAt(key, "%v is %s %v", n, map[bool]string{true: "over", false: "under"}[bound.over], b)
			}
		}
		if to.Kind() == reflect.Int {
			if n != float64(int64(n)) {
				return errorAt(key, "a whole number belongs here, not %v", n)
			}
			to.SetInt(int64(n))
			return nil
		}
		to.SetFloat(n)
	}
	return nil
}

func contains(list []string, wanted string) bool {
	for _, a := range list {
		if a == wanted {
			return true
		}
	}
	return false
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	// Sorted so that the same error is reported each time: by name, a table's own keys before those of the tables in it.
	for i := range keys {
		for j := i; j > 0 && keys[j] < keys[j-1]; j-- {
			keys[j], keys[j-1] = keys[j-1], keys[j]
		}
	}
	return keys
}
