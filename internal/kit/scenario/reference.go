package scenario

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference returns the reference page of a scenario file's keys in Markdown, generated from the types that read it.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Keys of a scenario file\n\nMade by `rehearse keys`. Spans of time are written as \"80ms\", \"1.5s\" or \"2m\"; lists of two are drawn between.\nAn unknown key is a fault.\n")
	s := Default()
	section := func(title string, v reflect.Value) {
		fmt.Fprintf(&b, "\n## %s\n\n| key | default | range | meaning |\n| --- | --- | --- | --- |\n", title)
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if f.Tag.Get("help") == "" {
				continue
			}
			bounds := f.Tag.Get("least") + " to " + f.Tag.Get("most")
			switch {
			case f.Tag.Get("oneof") != "":
				bounds = strings.ReplaceAll(f.Tag.Get("oneof"), ",", ", ")
			case f.Tag.Get("least") == "":
				bounds = ""
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Tag.Get("toml"), formatDefault(v.Field(i)), bounds, f.Tag.Get("help"))
		}
	}
	section("The day", reflect.ValueOf(s))
	section("[[site]]", reflect.ValueOf(defaultSite))
	section("[[model]], of cache node", reflect.ValueOf(defaultModel))
	section("[[class]], of request", reflect.ValueOf(defaultClass))
	section("[[tenant]]", reflect.ValueOf(defaultTenant))
	section("[database]", reflect.ValueOf(s.Database))
	section("[network]", reflect.ValueOf(s.Network))
	section("[keys]", reflect.ValueOf(s.Keys))
	section("[clients]", reflect.ValueOf(s.Clients))
	section("[discovery]", reflect.ValueOf(s.Discovery))
	section("[messages], between routers", reflect.ValueOf(s.Messages))
	section("[tiers], of routers", reflect.ValueOf(s.Tiers))
	section("[stored], of routers", reflect.ValueOf(s.Stored))
	section("[shared], of routers", reflect.ValueOf(s.Shared))
	section("[placement], of routers", reflect.ValueOf(s.Placement))
	section("[limits], of a router", reflect.ValueOf(s.Limits))
	section("[rules]", reflect.ValueOf(s.Rules))
	section("[[trouble]]", reflect.ValueOf(defaultTrouble))
	section("[expect]", reflect.ValueOf(s.Expect))
	b.WriteString("\n## Kinds of trouble\n\n| kind | strikes | needs | what happens |\n| --- | --- | --- | --- |\n")
	for _, name := range Kinds() {
		k, needs := kinds[name], []string{}
		if k.needsFor {
			needs = append(needs, "for")
		}
		if k.needsSize {
			needs = append(needs, "size")
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", name, k.strikes, strings.Join(needs, ", "), k.Help)
	}
	return b.String()
}

// formatDefault formats a default as in a scenario file; empty if there is none.
func formatDefault(v reflect.Value) string {
	switch {
	case v.Kind() == reflect.Pointer || v.Kind() == reflect.Slice:
		return ""
	case v.Kind() == reflect.Array:
		return fmt.Sprintf("[%s, %s]", formatDefault(v.Index(0)), formatDefault(v.Index(1)))
	case v.Type() == durationType:
		return fmt.Sprintf("%q", v.Interface().(Duration).D().String())
	case v.Kind() == reflect.String && v.String() == "":
		return ""
	case v.Kind() == reflect.String:
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}
