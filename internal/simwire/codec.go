// Package simwire connects balancers to the simulator: it decodes batches of events, runs one balancer for each instance and encodes their
// actions. All decisions are made by package balance.
package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"

	"cedarmast/balance"
	"cedarmast/internal/settings"
)

// message is a message from the simulator, one JSON object a line. Each kind uses some of the fields. Unknown fields are ignored.
type message struct {
	Name      string             `json:"m"`
	Clock     int64              `json:"T"`
	Batch     int64              `json:"n"`
	Instance  *int               `json:"I"`
	Seed      uint64             `json:"Seed"`
	Profile   *settings.Profile  `json:"ProfileData"`
	Mode      string             `json:"Mode"`
	Version   int64              `json:"Gen"`
	Members   []member           `json:"Members"`
	ID        string             `json:"Corr"`
	Class     string             `json:"TierClass"`
	Write     bool               `json:"Write"`
	Key       *uint64            `json:"NameKey"`
	Due       int64              `json:"Due"`
	Tenant    json.RawMessage    `json:"Billing"` // a name, or 0 where there are no tenants
	Ending    string             `json:"Ending"`
	Hop       int                `json:"Hop"`
	Detail    int                `json:"Detail"`
	Done      bool               `json:"DoneFlag"`
	Server    string             `json:"Server"`
	Feedback  map[string]float64 `json:"Feedback"`
	Content   []byte             `json:"Content"`
	Reference int64              `json:"Ref"`
}

// member is a server in an Announce message.
type member struct {
	Started int64   `json:"StartTime"`
	Kind    string  `json:"Hw"`
	Weight  float64 `json:"PowerHint"`
	Server  string  `json:"Server"`
	Zone    string  `json:"Locality"`
	Cell    int     `json:"Cell"`
	Status  string  `json:"Status"`
}

var (
	modes = map[string]balance.ListKind{"Partial": balance.Partial, "Complete": balance.Complete,
		"Persisted": balance.Persisted, "Error": balance.Failed}
	serverStates = map[string]balance.State{"U": balance.Up, "L": balance.Draining, "D": balance.Gone}
	results      = map[string]balance.Result{"delivered": balance.OK, "app_error": balance.Errored, "shed": balance.Rejected,
		"expired": balance.TimedOut, "dial_failed": balance.NoConnect, "dropped": balance.Reset,
		"revoked": balance.Cancelled, "unused": balance.NeverSent, "empty": balance.Miss}
)

// noteFetching is the detail code of a miss while the server waits for another request's fetch of the key.
const noteFetching = 3

// toEvent converts a message to a balancer event; nil if the balancer does not handle it.
func (l *message) toEvent() (balance.Event, error) {
	id, server := balance.RequestID(l.ID), balance.ServerID(l.Server)
	switch l.Name {
	case "Announce":
		kind, ok := modes[l.Mode]
		if !ok {
			return nil, fmt.Errorf("unknown list mode %q", l.Mode)
		}
		list := balance.List{Kind: kind, Version: l.Version}
		for _, m := range l.Members {
			state, ok := serverStates[m.Status]
			if !ok {
				return nil, fmt.Errorf("unknown status %q of server %q", m.Status, m.Server)
			}
			list.Entries = append(list.Entries, balance.Entry{
				Server: balance.ServerID(m.Server), Kind: m.Kind, Zone: m.Zone, Cell: m.Cell,
				Weight: m.Weight, Started: balance.Time(m.Started), State: state,
			})
		}
		return list, nil
	case "Call":
		q := balance.Request{ID: id, Class: l.Class, Write: l.Write, Due: balance.Time(l.Due)}
		if l.Key != nil {
			q.Key, q.HasKey = *l.Key, true
		}
		if name, err := strconv.Unquote(string(l.Tenant)); err == nil {
			q.Tenant = name
		}
		return q, nil
	case "Reply":
		return balance.Outcome{ID: id, Attempt: l.Hop, Server: server, Result: results[l.Ending],
			Fetching: l.Detail == noteFetching, Done: l.Done, Load: l.Feedback}, nil
	case "Opened":
		return balance.Opened{ID: id, Attempt: l.Hop, Server: server}, nil
	case "Aborted":
		return balance.ClientGone{ID: id}, nil
	case "Bell":
		return balance.Timer{Token: l.Reference}, nil
	case "Message":
		return balance.PeerMessage{Content: l.Content}, nil
	case "ProbeDone":
		return nil, nil
	}
	return nil, fmt.Errorf("unknown message %q", l.Name)
}

// command is a message to the simulator. Each kind uses some of the fields.
type command struct {
	Name      string `json:"m"`
	Instance  int    `json:"I"`
	ID        string `json:"Corr,omitempty"`
	Server    string `json:"Server,omitempty"`
	Advice    int64  `json:"NotBeforeFor,omitempty"`
	Hop       *int   `json:"Hop,omitempty"`
	Span      *int64 `json:"Span,omitempty"`
	Ref       *int64 `json:"Ref,omitempty"`
	Addressee *int   `json:"Addressee,omitempty"`
	Content   []byte `json:"Content,omitempty"`
	Enable    bool   `json:"Enable,omitempty"`
}

// encode encodes an instance's action as a message, without a line end.
func encode(instance int, a balance.Action) ([]byte, error) {
	o := command{Instance: instance}
	switch a := a.(type) {
	case balance.Send:
		o.Name, o.ID, o.Server = "Issue", string(a.ID), string(a.Server)
	case balance.Refuse:
		o.Name, o.ID, o.Advice = "OverloadReply", string(a.ID), int64(a.RetryAfter)
	case balance.Fail:
		o.Name, o.ID = "GiveUp", string(a.ID)
	case balance.Cancel:
		o.Name, o.ID, o.Hop = "Withdraw", string(a.ID), &a.Attempt
	case balance.SetTimer:
		span := int64(a.After)
		o.Name, o.Span, o.Ref = "Arm", &span, &a.Token
	case balance.SendPeerMessage:
		o.Name, o.Addressee, o.Content = "WritePeer", &a.To, a.Content
	case balance.CloseIdle:
		o.Name, o.Server = "ShutIdle", string(a.Server)
	case balance.Subscribe:
		o.Name, o.Enable = "Watch", true
	default:
		return nil, fmt.Errorf("no wire form for action %T", a)
	}
	return json.Marshal(o)
}
