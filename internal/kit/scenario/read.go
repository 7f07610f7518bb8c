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

// Error is a fault of a scenario file.
type Error struct {
	File string
	Line int    // from 1; 0 where a key is missing
	Key  string // as site[1].share
	What string
}

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		at += ": " + e.Key
	}
	return at + ": " + e.What
}

// Load reads a scenario from a file.
func Load(path string, sets ...string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, sets...)
}

// Parse reads and checks a scenario; the name is for faults. Each of sets is key=value, the value as TOML writes it, and
// goes over what the text has.
func Parse(name string, text []byte, sets ...string) (*Scenario, error) {
	tree := map[string]any{}
	if err := decode(name, text, &tree); err != nil {
		return nil, err
	}
	for base, ok := tree["base"].(string); ok; { // a base may have one as well
		under, found := Text(base)
		if !found {
			return nil, &Error{name, lines(text)["base"], "base", fmt.Sprintf("the kit brings no scenario %q", base)}
		}
		below := map[string]any{}
		if err := decode(base, under, &below); err != nil {
			return nil, err
		}
		next, more := below["base"].(string)
		tree = over(below, tree)
		base, ok = next, more
	}
	given := map[string]string{} // by key: what --set said of it
	for _, set := range sets {
		if err := apply(tree, set); err != nil {
			return nil, err
		}
		key, _, _ := strings.Cut(set, "=")
		given[key] = set
	}
	at := lines(text)
	fault := func(key, format string, args ...any) error {
		if set, ok := given[key]; ok {
			return &Error{File: "--set " + set, Key: key, What: fmt.Sprintf(format, args...)}
		}
		line := max(at[key], at[key+"[0]"])
		for k := key; line == 0 && strings.ContainsAny(k, ".["); {
			k = k[:strings.LastIndexAny(k, ".[")]
			line = at[k]
		}
		return &Error{name, line, key, fmt.Sprintf(format, args...)}
	}
	s := Default()
	if err := fill(reflect.ValueOf(&s).Elem(), tree, "", fault); err != nil {
		return nil, err
	}
	if err := s.check(fault); err != nil {
		return nil, err
	}
	return &s, nil
}

// over lays a tree over another one: tables key by key, all else whole.
func over(below, above map[string]any) map[string]any {
	for key, value := range above {
		lower, both := below[key].(map[string]any)
		if upper, ok := value.(map[string]any); ok && both {
			value = over(lower, upper)
		}
		below[key] = value
	}
	return below
}

func decode(name string, text []byte, to any) error {
	var wrong *toml.DecodeError
	err := toml.Unmarshal(text, to)
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		return &Error{name, row, strings.Join(wrong.Key(), "."), strings.TrimPrefix(wrong.Error(), "toml: ")}
	}
	if err != nil {
		return &Error{File: name, What: err.Error()}
	}
	return nil
}

// lines finds the line of each key, as site[1].share.
func lines(text []byte) map[string]int {
	at, counts, prefix := map[string]int{}, map[string]int{}, ""
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
			at[prefix] = line(e)
		case unstable.ArrayTable:
			name := path(e)
			prefix = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			at[prefix] = line(e)
		case unstable.KeyValue:
			key := path(e)
			if prefix != "" {
				key = prefix + "." + key
			}
			at[key] = line(e)
		}
	}
	return at
}

// apply puts key=value over a tree; a key is as site[1].share or database.workers.
func apply(tree map[string]any, set string) error {
	key, value, ok := strings.Cut(set, "=")
	if !ok {
		return &Error{File: "--set " + set, What: "not of the form key=value"}
	}
	var one map[string]any
	if toml.Unmarshal([]byte("v = "+value), &one) != nil {
		if err := toml.Unmarshal([]byte("v = "+strconv.Quote(value)), &one); err != nil {
			return &Error{File: "--set " + set, Key: key, What: fmt.Sprintf("%q is no value", value)}
		}
	}
	parts := strings.Split(key, ".")
	at := tree
	for i, part := range parts {
		name, rest, indexed := strings.Cut(part, "[")
		if i == len(parts)-1 && !indexed {
			at[name] = one["v"]
			return nil
		}
		if indexed {
			n, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
			all, _ := at[name].([]any)
			if err != nil || n < 0 || n >= len(all) {
				return &Error{File: "--set " + set, Key: key, What: "there is no " + part}
			}
			if at, ok = all[n].(map[string]any); !ok || i == len(parts)-1 {
				return &Error{File: "--set " + set, Key: key, What: part + " is no single value"}
			}
			continue
		}
		next, ok := at[name].(map[string]any)
		if !ok {
			next = map[string]any{}
			at[name] = next
		}
		at = next
	}
	return nil
}

var (
	durationType = reflect.TypeFor[Duration]()
	defaults     = map[reflect.Type]any{reflect.TypeFor[Site](): defaultSite, reflect.TypeFor[Model](): defaultModel,
		reflect.TypeFor[Class](): defaultClass, reflect.TypeFor[Tenant](): defaultTenant, reflect.TypeFor[Trouble](): defaultTrouble}
)

type faultFunc func(key, format string, args ...any) error

// fill takes a table's values over into a struct, key by key, so that each fault has its key and line.
func fill(to reflect.Value, table map[string]any, prefix string, fault faultFunc) error {
	fields := map[string]reflect.StructField{}
	for i := range to.NumField() {
		f := to.Type().Field(i)
		fields[f.Tag.Get("toml")] = f
	}
	for _, key := range sortedKeys(table) {
		full := prefix + key
		f, ok := fields[key]
		if !ok {
			return fault(full, "unknown key")
		}
		if err := set(to.FieldByIndex(f.Index), table[key], full, f, fault); err != nil {
			return err
		}
	}
	return nil
}

func set(to reflect.Value, value any, key string, f reflect.StructField, fault faultFunc) error {
	switch {
	case to.Type() == durationType:
		text, ok := value.(string)
		if !ok {
			return fault(key, "a span of time such as \"80ms\" belongs here")
		}
		var d Duration
		if err := d.UnmarshalText([]byte(text)); err != nil {
			return fault(key, "%v", err)
		}
		for _, bound := range []struct {
			tag  string
			over bool
		}{{"least", false}, {"most", true}} {
			if b, err := time.ParseDuration(f.Tag.Get(bound.tag)); err == nil && (d.D() > b) == bound.over && d.D() != b {
				return fault(key, "%v is %s %v", d.D(), map[bool]string{true: "over", false: "under"}[bound.over], b)
			}
		}
		to.Set(reflect.ValueOf(d))
	case to.Kind() == reflect.Pointer:
		to.Set(reflect.New(to.Type().Elem()))
		return set(to.Elem(), value, key, f, fault)
	case to.Kind() == reflect.Struct:
		table, ok := value.(map[string]any)
		if !ok {
			return fault(key, "a table belongs here")
		}
		return fill(to, table, key+".", fault)
	case to.Kind() == reflect.Array || to.Kind() == reflect.Slice:
		all, ok := value.([]any)
		if !ok || to.Kind() == reflect.Array && len(all) != to.Len() {
			if to.Kind() == reflect.Array {
				return fault(key, "a list of %d values belongs here", to.Len())
			}
			return fault(key, "a list belongs here")
		}
		if to.Kind() == reflect.Slice {
			to.Set(reflect.MakeSlice(to.Type(), len(all), len(all)))
		}
		for i, one := range all {
			if d, ok := defaults[to.Type().Elem()]; ok {
				to.Index(i).Set(reflect.ValueOf(d))
			}
			if err := set(to.Index(i), one, fmt.Sprintf("%s[%d]", key, i), f, fault); err != nil {
				return err
			}
		}
	case to.Kind() == reflect.String:
		text, ok := value.(string)
		if !ok {
			return fault(key, "a text belongs here")
		}
		if of := f.Tag.Get("oneof"); of != "" && !contains(strings.Split(of, ","), text) {
			return fault(key, "%q is none of %s", text, strings.ReplaceAll(of, ",", ", "))
		}
		to.SetString(text)
	case to.Kind() == reflect.Bool:
		b, ok := value.(bool)
		if !ok {
			return fault(key, "true or false belongs here")
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
			return fault(key, "a number belongs here")
		}
		for _, bound := range []struct {
			tag  string
			over bool
		}{{"least", false}, {"most", true}} {
			if b, err := strconv.ParseFloat(f.Tag.Get(bound.tag), 64); err == nil && !(n == b) && !((n < b) == bound.over) {
				return fault(key, "%v is %s %v", n, map[bool]string{true: "over", false: "under"}[bound.over], b)
			}
		}
		if to.Kind() == reflect.Int {
			if n != float64(int64(n)) {
				return fault(key, "a whole number belongs here, not %v", n)
			}
			to.SetInt(int64(n))
			return nil
		}
		to.SetFloat(n)
	}
	return nil
}

func contains(all []string, one string) bool {
	for _, a := range all {
		if a == one {
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
	// A fault of a table's own keys comes before those of the tables in it, and by name: the same fault each time.
	for i := range keys {
		for j := i; j > 0 && keys[j] < keys[j-1]; j-- {
			keys[j], keys[j-1] = keys[j-1], keys[j]
		}
	}
	return keys
}
