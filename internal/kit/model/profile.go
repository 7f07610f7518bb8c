package model

import (
	"encoding/json"
	"time"

	"cedarmast/internal/settings"
)

// Operator returns the contents of the operators' settings file for this scenario.
func (w *World) Operator() *settings.Operator {
	all := &settings.Operator{}
	if w.scenario.Placement.By == "list" {
		all.Placement = &settings.Placement{By: "list"}
	}
	t := w.scenario.Tiers
	if !t.On {
		return all
	}
	own := &settings.Sites{Prefer: t.Prefer}
	if t.Spill > 0 {
		own.Spill = &t.Spill
	}
	if t.Hold > 0 {
		own.Hold = t.Hold.D().String()
	}
	all.Sites = own
	return all
}

// Profile returns the settings object that is passed to router k.
func (w *World) Profile(k int) *settings.Profile {
	s := w.scenario
	var p settings.Profile
	text, err := json.Marshal(map[string]any{"Classes": w.classes(), "Tenants": w.tenants()})
	if err == nil {
		err = json.Unmarshal(text, &p) // the profile's lists have anonymous element types
	}
	if err != nil {
		panic(err)
	}
	p.FleetSize, p.MyNumber, p.Zone = len(s.RouterNames()), k, w.RouterSite(k)
	p.OverShareWorth, p.MembershipMode, p.FamilyInfo.Mode = s.Clients.OverShare, s.Discovery.Mode, "through"
	for _, m := range s.Models {
		p.Flavors = append(p.Flavors, m.Name)
	}
	l := &p.Limits
	l.SendCap, l.MayCancel, l.PeerMessages = s.Rules.MaxAttempts, s.Rules.MayCancel, s.Messages.On
	l.RetryAfter, l.MaxRetryAfter, l.ConnectTimeout = s.Rules.RetryAfter, int64(s.Rules.MaxRetryAfter), int64(s.Rules.ConnectWithin)
	c := &p.Contract
	c.AnswerSlack, c.AskWithin = int64(50*time.Millisecond), int64(2*time.Second)
	c.ColdFrom, c.OverloadFactor, c.OverloadFor = 1, s.Rules.Fall, int64(s.Rules.FallFor)
	for i, m := range s.Models {
		if i == 0 || int64(m.Idle) < l.ConnIdle {
			l.ConnIdle = int64(m.Idle)
		}
		c.ColdFrom, c.RampTime = min(c.ColdFrom, m.ColdFrom), max(c.RampTime, int64(m.ColdFor))
	}
	return &p
}

// classes returns the request classes in the form of the profile.
func (w *World) classes() (all []map[string]any) {
	for _, c := range w.scenario.Classes {
		all = append(all, map[string]any{"Name": c.Name, "Objective": int64(c.Wanted), "Deadline": int64(c.Deadline), "Worth": c.Worth,
			"LateShare": c.LateShare, "Effect": c.Effect, "DedupScope": map[bool]string{true: "all"}[c.Effect == "keyed"], "MemorySpan": int64(c.Memory)})
	}
	return all
}

// tenants returns the tenants and their allowances in the form of the profile.
func (w *World) tenants() (all []map[string]any) {
	totalShare := 0.0
	for _, t := range w.scenario.Tenants {
		totalShare += t.Share
	}
	for _, t := range w.scenario.Tenants {
		all = append(all, map[string]any{"Name": t.Name, "AllowancePerS": w.scenario.Rate * t.Share / totalShare})
	}
	return all
}
