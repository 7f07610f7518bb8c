// Package settings reads the settings' JSON, the same for the simulator's wire and for the real router.
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

// Profile is the settings object as the simulator sends it and as a real router finds it in its configuration.
// Times are in nanoseconds.
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

// Settings is what the decisions are told of the profile.
func (p *Profile) Settings() balance.Settings {
	s := balance.Settings{
		Routers: p.FleetSize, Number: p.MyNumber, PeerMessages: p.Limits.PeerMessages, Zone: p.Zone, OverShareWorth: p.OverShareWorth,
		Aside: p.FamilyInfo.Mode == "aside", AskForList: p.MembershipMode == "on_request",
		AskWithin:   time.Duration(p.Contract.AskWithin),
		MaxAttempts: p.Limits.SendCap, MayCancel: p.Limits.MayCancel, Parallel: p.Limits.ParallelTries,
		MaxRetryAfter:  time.Duration(p.Limits.MaxRetryAfter),
		ConnectTimeout: time.Duration(p.Limits.ConnectTimeout), Streams: p.Limits.StreamsPerConn,
		ColdFrom: p.Contract.ColdFrom, Ramp: time.Duration(p.Contract.RampTime),
		OverloadFactor: p.Contract.OverloadFactor, OverloadFor: time.Duration(p.Contract.OverloadFor),
	}
	if k := p.FamilyInfo.OriginKind; k != nil && *k >= 0 && *k < len(p.Flavors) {
		s.OriginKind = p.Flavors[*k]
	}
	if !p.Limits.RetryAfter { // clients are told no advice
		s.MaxRetryAfter = 0
	}
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, balance.Class{
			Name: c.Name, Aim: time.Duration(c.Objective), Deadline: time.Duration(c.Deadline), Worth: c.Worth,
			LateShare: c.LateShare, Effect: effects[c.Effect], Group: groups[c.DedupScope],
			Memory: time.Duration(c.MemorySpan),
		})
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, balance.Tenant{Name: t.Name, AllowancePerS: t.AllowancePerS})
	}
	return s
}

// HasClass tells whether the settings name a class.
func (p *Profile) HasClass(name string) bool {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return true
		}
	}
	return false
}

// IsSafe tells whether a class may be repeated at will.
func (p *Profile) IsSafe(class string) bool {
	for i := range p.Classes {
		if p.Classes[i].Name == class {
			return effects[p.Classes[i].Effect] == balance.Safe
		}
	}
	return false
}

// Check names the first key that a router can't work with. What the simulator's wire leaves out is no fault.
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
			return fmt.Errorf("Classes[%d].Name: %q stands there twice", i, c.Name)
		case c.Objective <= 0:
			return fmt.Errorf("Classes[%d].Objective: %d is not over 0", i, c.Objective)
		case c.Deadline <= 0:
			return fmt.Errorf("Classes[%d].Deadline: %d is not over 0", i, c.Deadline)
		case !effect:
			return fmt.Errorf("Classes[%d].Effect: unknown effect %q", i, c.Effect)
		}
		seen[c.Name] = true
	}
	if p.FleetSize < 1 {
		return fmt.Errorf("FleetSize: %d is under 1", p.FleetSize)
	}
	if p.MyNumber < 0 || p.MyNumber >= p.FleetSize {
		return fmt.Errorf("MyNumber: %d is none of %d routers", p.MyNumber, p.FleetSize)
	}
	for _, key := range []struct {
		name  string
		value int64
	}{{"Limits.SendCap", int64(p.Limits.SendCap)}, {"Limits.StreamsPerConn", int64(p.Limits.StreamsPerConn)}, {"Limits.ConnIdle", p.Limits.ConnIdle}, {"Limits.ConnectTimeout", p.Limits.ConnectTimeout},
		{"Limits.MaxRetryAfter", p.Limits.MaxRetryAfter}, {"Contract.RampTime", p.Contract.RampTime},
		{"Contract.OverloadFor", p.Contract.OverloadFor}, {"Contract.AskWithin", p.Contract.AskWithin}} {
		if key.value < 0 {
			return fmt.Errorf("%s: %d is under 0", key.name, key.value)
		}
	}
	return nil
}

// Retuned is what of new settings a running router can take: all but what its place in the fleet and its sockets hang on.
// The keys that wait for a restart are named.
func (p *Profile) Retuned(now *Profile) (next *Profile, wait []string) {
	taken := *now
	for _, key := range []struct {
		name    string
		was, is any
		keep    func()
	}{
		{"MyNumber", p.MyNumber, now.MyNumber, func() { taken.MyNumber = p.MyNumber }},
		{"Zone", p.Zone, now.Zone, func() { taken.Zone = p.Zone }},
		{"MembershipMode", p.MembershipMode, now.MembershipMode, func() { taken.MembershipMode = p.MembershipMode }},
		{"Flavors", p.Flavors, now.Flavors, func() { taken.Flavors = p.Flavors }},
		{"FamilyInfo", p.FamilyInfo, now.FamilyInfo, func() { taken.FamilyInfo = p.FamilyInfo }},
		{"Limits.PeerMessages", p.Limits.PeerMessages, now.Limits.PeerMessages, func() { taken.Limits.PeerMessages = p.Limits.PeerMessages }},
		{"Limits.StreamsPerConn", p.Limits.StreamsPerConn, now.Limits.StreamsPerConn, func() { taken.Limits.StreamsPerConn = p.Limits.StreamsPerConn }},
	} {
		if !reflect.DeepEqual(key.was, key.is) {
			key.keep()
			wait = append(wait, key.name)
		}
	}
	return &taken, wait
}

// Missing names the first key that an object had and its successor lacks, dotted; empty if there is none. Of a list each
// element must have the keys that all elements had before. Keys that skip names, dotted, may go.
func Missing(was, now any, skip ...string) string {
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

// commonKeys are the keys that all of a list's objects have, with nothing behind them; nil if its elements are no objects.
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

// Unread names the keys of a settings object that a Profile has no place for, dotted and in order: the platform's own, or
// misspelt ones. Upper and lower case count as the same, as they do when settings are read.
func Unread(settings map[string]any) []string {
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
					continue // of another form than expected: Check tells
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
