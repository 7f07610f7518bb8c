package settings

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"cedarmast/balance"
)

const profileJSON = `{"FleetSize":3,"MyNumber":1,"Zone":"z","OverShareWorth":0.2,"MembershipMode":"on_request",
 "Classes":[{"Name":"add","Objective":1200000000,"Deadline":5000000000,"Worth":3,"LateShare":0.5,"Effect":"keyed",
  "DedupScope":"zone","MemorySpan":10000000000,"Streaming":false}],
 "Tenants":[{"Name":"t","AllowancePerS":58,"Portion":0.37}],"Flavors":["box","origin"],
 "FamilyInfo":{"Mode":"aside","OriginKind":1},
 "Limits":{"SendCap":4,"MayCancel":true,"ParallelTries":true,"PeerMessages":true,"RetryAfter":true,
  "MaxRetryAfter":2000000000,"ConnectTimeout":250000000,"ConnIdle":5000000000,"StreamsPerConn":100},
 "Contract":{"AskWithin":10000000000,"ColdFrom":0.15,"RampTime":24000000000,"OverloadFactor":2.5,"OverloadFor":3000000000}}`

func TestProfileSettings(t *testing.T) {
	var p Profile
	if err := json.Unmarshal([]byte(profileJSON), &p); err != nil {
		t.Fatal(err)
	}
	want := balance.Settings{
		Classes: []balance.Class{{Name: "add", Target: 1200 * time.Millisecond, Deadline: 5 * time.Second, Priority: 3, LateShare: 0.5,
			Effect: balance.Keyed, Group: balance.GroupZone, RepeatWindow: 10 * time.Second}},
		Tenants: []balance.Tenant{{Name: "t", AllowancePerS: 58}},
		Routers: 3, Index: 1, PeerMessages: true, Zone: "z", OverSharePriority: 0.2, CacheAside: true, OriginKind: "origin",
		SubscribeToList: true, SubscribeTimeout: 10 * time.Second, MaxAttempts: 4, MayCancel: true, ParallelAttempts: true,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: 250 * time.Millisecond, StreamsPerConn: 100,
		ColdStartShare: 0.15, RampTime: 24 * time.Second, OverloadFactor: 2.5, OverloadFor: 3 * time.Second,
	}
	if got := p.Settings(); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if err := p.Check(); err != nil {
		t.Error(err)
	}
	p.Limits.RetryAfter = false // clients then get no Retry-After
	if got := p.Settings().MaxRetryAfter; got != 0 {
		t.Errorf("Retry-After of up to %v", got)
	}
	none := -1
	p.FamilyInfo.OriginKind = &none
	if got := p.Settings().OriginKind; got != "" {
		t.Errorf("an origin of kind %q", got)
	}
}

// An unknown effect is treated as unsafe, the strictest one.
func TestUnknownEffectIsUnsafe(t *testing.T) {
	var p Profile
	if err := json.Unmarshal([]byte(`{"Classes":[{"Name":"x","Effect":"odd"}]}`), &p); err != nil {
		t.Fatal(err)
	}
	if c := p.Settings().Classes[0]; c.Effect != balance.Unsafe || c.Group != balance.GroupNone {
		t.Errorf("got %+v", c)
	}
}
