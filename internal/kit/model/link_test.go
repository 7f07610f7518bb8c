package model

import (
	"testing"
	"time"
)

// A link fault affects exactly the messages and directions it names, and only until it ends. With a leaking cut, or one that
// never heals, tests of the messages between routers would prove nothing.
func TestLinks(t *testing.T) {
	const site = "[[trouble]]\nkind = \"router-link\"\nat = \"1s\"\nfor = \"2s\"\n"
	// Routers of scenario calm: 0 north, 1 south, 2 west.
	for text, cut := range map[string][][2]int{
		"router = \"north-r1\"":                                        {{0, 1}, {1, 0}, {0, 2}, {2, 0}},
		"router = \"north-r1\"\nway = \"out\"":                         {{0, 1}, {0, 2}},
		"router = \"north-r1\"\nway = \"in\"\nto = \"west\"":           {{2, 0}},
		"site = \"south\"\nto = \"west-r1\"":                           {{1, 2}, {2, 1}},
		"part = 1.0":                                                   {{0, 1}, {1, 0}, {0, 2}, {2, 0}, {1, 2}, {2, 1}},
		"part = 1.0\nloss = 1.0\nrepeats = 1.0\ndelay=[\"1s\",\"1s\"]": {{0, 1}, {1, 0}, {0, 2}, {2, 0}, {1, 2}, {2, 1}},
	} {
		v := newTestHost(t, 1, site+text, "messages.loss=0.0")
		rng := Stream(1, "host")
		lost := func() (all map[[2]int]bool) {
			all = map[[2]int]bool{}
			for from := range 3 {
				for to := range 3 {
					if from != to && len(v.MessageDelays(rng, from, to)) == 0 {
						all[[2]int{from, to}] = true
					}
				}
			}
			return all
		}
		want := map[[2]int]bool{}
		for _, c := range cut {
			want[c] = true
		}
		v.At(2*time.Second, func() {
			got := lost()
			for c := range want {
				if !got[c] {
					t.Errorf("%q: message from %d to %d was delivered", text, c[0], c[1])
				}
			}
			if len(got) != len(want) {
				t.Errorf("%q: messages lost: %v", text, got)
			}
		})
		v.At(3100*time.Millisecond, func() {
			if got := lost(); len(got) > 0 {
				t.Errorf("%q: messages lost after the end of the fault: %v", text, got)
			}
		})
		v.At(900*time.Millisecond, func() {
			if got := lost(); len(got) > 0 {
				t.Errorf("%q: messages lost before the fault: %v", text, got)
			}
		})
		v.play()
	}
	v := newTestHost(t, 1, site+"part = 1.0\nrepeats = 1.0\ndelay=[\"1s\",\"2s\"]", "messages.loss=0.0")
	v.At(2*time.Second, func() {
		if all := v.MessageDelays(Stream(1, "host"), 0, 1); len(all) != 2 || all[0] < time.Second || all[1] < all[0] {
			t.Errorf("delays of a duplicated, delayed message: %v", all)
		}
	})
	v.play()
}
