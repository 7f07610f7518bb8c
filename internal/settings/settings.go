// Package settings parses and validates the settings, in the same JSON form for the simulator and for a real router,
// and the operators' file.
package settings

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"cedarmast/balance"
)

// Profile is the settings object that the simulator sends and that a router's configuration contains. Times are in
// nanoseconds.
type Profile struct {
	Classes []struct {
		Name       string
		Objective  int64
		Deadline   int64
		Worth      float64
		LateShare  float64
		Effect     string
		DedupScope string
		MemorySpan int64
	}
	Tenants []struct {
		Name          string
		AllowancePerS float64
	}
	Flavors        []string
	FleetSize      int
	MyNumber       int
	Zone           string
	OverShareWorth float64
	MembershipMode string
	FamilyInfo     struct {
		Mode       string
		OriginKind *int
	}
	Limits struct {
		SendCap        int
		MayCancel      bool
		ParallelTries  bool
		PeerMessages   bool
		RetryAfter     bool
		MaxRetryAfter  int64
		ConnectTimeout int64
		ConnIdle       int64
		StreamsPerConn int
	}
	Contract struct {
		AnswerSlack    int64
		AskWithin      int64
		ColdFrom       float64
		RampTime       int64
		OverloadFactor float64
		OverloadFor    int64
	}
}

var (
	effects = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
	groups  = map[string]balance.Group{"all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell}
)

// Settings converts the profile to the settings of the balancing decisions.
func (p *Profile) Settings() balance.Settings {
	s := balance.Settings{
		Routers: p.FleetSize, Index: p.MyNumber, PeerMessages: p.Limits.PeerMessages, Zone: p.Zone, OverSharePriority: p.OverShareWorth,
		CacheAside: p.FamilyInfo.Mode == "aside", SubscribeToList: p.MembershipMode == "on_request",
		SubscribeTimeout: time.Duration(p.Contract.AskWithin),
		MaxAttempts:      p.Limits.SendCap, MayCancel: p.Limits.MayCancel, ParallelAttempts: p.Limits.ParallelTries,
		MaxRetryAfter:  time.Duration(p.Limits.MaxRetryAfter),
		ConnectTimeout: time.Duration(p.Limits.ConnectTimeout), StreamsPerConn: p.Limits.StreamsPerConn,
		ColdStartShare: p.Contract.ColdFrom, RampTime: time.Duration(p.Contract.RampTime),
		OverloadFactor: p.Contract.OverloadFactor, OverloadFor: time.Duration(p.Contract.OverloadFor),
	}
	if k := p.FamilyInfo.OriginKind; k != nil && *k >= 0 && *k < len(p.Flavors) {
		s.OriginKind = p.Flavors[*k]
	}
	if !p.Limits.RetryAfter { // clients get no Retry-After
		s.MaxRetryAfter = 0
	}
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, balance.Class{
			Name: c.Name, Target: time.Duration(c.Objective), Deadline: time.Duration(c.Deadline), Priority: c.Worth,
			LateShare: c.LateShare, Effect: effects[c.Effect], Group: groups[c.DedupScope],
			RepeatWindow: time.Duration(c.MemorySpan),
		})
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, balance.Tenant{Name: t.Name, AllowancePerS: t.AllowancePerS})
	}
	return s
}

// HasClass reports whether the profile has a class of this name.
func (p *Profile) HasClass(name string) bool {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return true
		}
	}
	return false
}

// IsSafe reports whether the effect of a class is safe, so that its requests may be retried freely.
func (p *Profile) IsSafe(class string) bool {
	for i := range p.Classes {
		if p.Classes[i].Name == class {
			return effects[p.Classes[i].Effect] == balance.Safe
		}
	}
	return false
}

// Check returns an error that names the first invalid key. Keys that the simulator leaves out are not errors.
func (p *Profile) Check() error {
	if len(p.Classes) == 0 {
		return errors.New("Classes: none")
	}
	seen := map[string]bool{}
	for i, c := range p.Classes {
		_, effect := effects[c.Effect]
		switch {
		case c.Name == "":
			return fmt.Errorf("Classes[%d].Name: missing", i)
		case seen[c.Name]:
			return fmt.Errorf("Classes[%d].Name: duplicate %q", i, c.Name)
		case c.Objective <= 0:
			return fmt.Errorf("Classes[%d].Objective: %d is not greater than 0", i, c.Objective)
		case c.Deadline <= 0:
			return fmt.Errorf("Classes[%d].Deadline: %d is not greater than 0", i, c.Deadline)
		case !effect:
			return fmt.Errorf("Classes[%d].Effect: unknown effect %q", i, c.Effect)
		}
		seen[c.Name] = true
	}
	if p.FleetSize < 1 {
		return fmt.Errorf("FleetSize: %d is less than 1", p.FleetSize)
	}
	if p.MyNumber < 0 || p.MyNumber >= p.FleetSize {
		return fmt.Errorf("MyNumber: %d is not one of %d routers", p.MyNumber, p.FleetSize)
	}
	for _, key := range []struct {
		name  string
		value int64
	}{{"Limits.SendCap", int64(p.Limits.SendCap)}, {"Limits.StreamsPerConn", int64(p.Limits.StreamsPerConn)}, {"Limits.ConnIdle", p.Limits.ConnIdle}, {"Limits.ConnectTimeout", p.Limits.ConnectTimeout},
		{"Limits.MaxRetryAfter", p.Limits.MaxRetryAfter}, {"Contract.RampTime", p.Contract.RampTime},
		{"Contract.OverloadFor", p.Contract.OverloadFor}, {"Contract.AskWithin", p.Contract.AskWithin}} {
		if key.value < 0 {
			return fmt.Errorf("%s: %d is negative", key.name, key.value)
		}
	}
	return nil
}

// MergeReloadable returns the new settings that a running router can apply, and the names of the changed keys that need a
// restart: the router's place in the fleet and what its sockets depend on. Those keys keep their old values.
func (p *Profile) MergeReloadable(updated *Profile) (next *Profile, pendingRestart []string) {
	merged := *updated
	for _, key := range []struct {
		name    string
		was, is any
		keep    func()
	}{
		{"MyNumber", p.MyNumber, updated.MyNumber, func() { merged.MyNumber = p.MyNumber }},
		{"Zone", p.Zone, updated.Zone, func() { merged.Zone = p.Zone }},
		{"MembershipMode", p.MembershipMode, updated.MembershipMode, func() { merged.MembershipMode = p.MembershipMode }},
		{"Flavors", p.Flavors, updated.Flavors, func() { merged.Flavors = p.Flavors }},
		{"FamilyInfo", p.FamilyInfo, updated.FamilyInfo, func() { merged.FamilyInfo = p.FamilyInfo }},
		{"Limits.PeerMessages", p.Limits.PeerMessages, updated.Limits.PeerMessages, func() { merged.Limits.PeerMessages = p.Limits.PeerMessages }},
		{"Limits.StreamsPerConn", p.Limits.StreamsPerConn, updated.Limits.StreamsPerConn, func() { merged.Limits.StreamsPerConn = p.Limits.StreamsPerConn }},
	} {
		if !reflect.DeepEqual(key.was, key.is) {
			key.keep()
			pendingRestart = append(pendingRestart, key.name)
		}
	}
	return &merged, pendingRestart
}

// MissingKey returns the dotted name of the first key that an object had and its successor lacks, or an empty string.
// Each element of a list must have the keys that all its elements had before. The dotted names in skip may be absent.
func MissingKey(was, now any, skip ...string) string {
	var walk func(path string, was, now any) string
	walk = func(path string, was, now any) string {
		switch was := was.(type) {
		case map[string]any:
			now, _ := now.(map[string]any)
			for _, key := range slices.Sorted(maps.Keys(was)) {
				at := strings.TrimPrefix(path+"."+key, ".")
				if slices.Contains(skip, at) {
					continue
				}
				value, ok := now[key]
				if !ok {
					return at
				}
				if fault := walk(at, was[key], value); fault != "" {
					return fault
				}
			}
		case []any:
			common := commonKeys(was)
			now, _ := now.([]any)
			for i, value := range now {
				if fault := walk(fmt.Sprintf("%s[%d]", path, i), common, value); fault != "" {
					return fault
				}
			}
		}
		return ""
	}
	return walk("", was, now)
}

// commonKeys returns an object with the keys that all objects of a list have, without values; nil if the elements are
// not objects.
func commonKeys(list []any) any {
	var common map[string]any
	for i, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = map[string]any{}
			for key := range object {
				common[key] = nil
			}
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, ok := object[key]; return !ok })
	}
	return common
}

// UnknownKeys returns the sorted, dotted names of the keys of a settings object that Profile has no field for: keys of the
// platform's own, or misspelt ones. Case is ignored, as it is when settings are parsed.
func UnknownKeys(settings map[string]any) []string {
	var names []string
	var walk func(path string, value any, t reflect.Type)
	walk = func(path string, value any, t reflect.Type) {
		if t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
		switch value := value.(type) {
		case []any:
			for i, v := range value {
				if t.Kind() == reflect.Slice {
					walk(fmt.Sprintf("%s[%d]", path, i), v, t.Elem())
				}
			}
		case map[string]any:
			for key, v := range value {
				at := strings.TrimPrefix(path+"."+key, ".")
				if t.Kind() != reflect.Struct {
					continue // not the expected type: Check reports it
				} else if f, ok := t.FieldByNameFunc(func(name string) bool { return strings.EqualFold(name, key) }); ok {
					walk(at, v, f.Type)
				} else {
					names = append(names, at)
				}
			}
		}
	}
	walk("", settings, reflect.TypeFor[Profile]())
	slices.Sort(names)
	return names
}
