package promises

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/instance"
	"foxtailbridge/policy/claim"
	"foxtailbridge/standin/engine"
)

const rolloutTicket = `
ticket: 5
author: op
roll-outs: [{name: small-2, state: running, from: small@1, to: small@2, percent: %d}]
`

// startBothVersions starts two instances and an engine of each version of the small model.
func (env *testEnv) startBothVersions() (a, b *node) {
	env.engine("engine-1", "a", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5})
	env.engine("engine-2", "b", engine.Config{Version: "small@2", FirstTokenLatency: 20, TokenInterval: 5})
	a = env.node("node-a", "a")
	b = env.node("node-b", "b")
	env.publish(baseTicket)
	env.advance(2 * time.Second)
	return a, b
}

// runSession sends requests of one session through the instances in turn (round-robin) and
// returns the versions that answered.
func runSession(nodes []*node, count int) []string {
	var versions []string
	token := ""
	for i := range count {
		got := nodes[i%len(nodes)].chat("small", fmt.Sprint("turn ", i), "Session-Token", token)
		versions = append(versions, got.header.Get("Model-Version"))
		token = got.header.Get("Session-Token")
	}
	return versions
}

func TestSessionKeepsItsVersion(t *testing.T) {
	runInEnv(t, "a session keeps its version on two instances while a roll-out completes", instance.Options{}, func(env *testEnv) {
		a, b := env.startBothVersions()
		token := a.chat("small", "first").header.Get("Session-Token")
		for i, percent := range []int{10, 50, 100} {
			env.publish(fmt.Sprintf("ticket: %d\nauthor: op\nroll-outs: [{name: r, state: running, from: small@1, to: small@2, percent: %d}]", 10+i, percent))
			for _, n := range []*node{a, b} {
				got := n.chat("small", fmt.Sprint("turn ", i), "Session-Token", token)
				So(got.header.Get("Model-Version"), ShouldEqual, "small@1")
			}
		}
	})
	runInEnv(t, "unsafe variant: without a token the roll-out moves the caller to the new version", instance.Options{}, func(env *testEnv) {
		a, _ := env.startBothVersions()
		So(a.chat("small", "first").header.Get("Model-Version"), ShouldEqual, "small@1")
		env.publish(fmt.Sprintf(rolloutTicket, 100))
		So(a.chat("small", "second").header.Get("Model-Version"), ShouldEqual, "small@2")
	})
	runInEnv(t, "a withdrawn version refuses the session and does not switch it to another version", instance.Options{}, func(env *testEnv) {
		a, b := env.startBothVersions()
		token := a.chat("small", "first").header.Get("Session-Token")
		env.publish("ticket: 10\nauthor: op\nversions: [{ref: small@1, state: withdrawn}]")
		got := b.chat("small", "second", "Session-Token", token)
		So(got.code, ShouldEqual, "version-withdrawn")
		So(got.outcome, ShouldEqual, claim.StateNotRun)
		So(env.engines["engine-2"].Events(), ShouldBeEmpty)
	})
	runInEnv(t, "a forged token, or one of another workspace, is refused", instance.Options{}, func(env *testEnv) {
		a, _ := env.startBothVersions()
		token := a.chat("small", "first").header.Get("Session-Token")
		So(a.chat("small", "x", "Session-Token", token+"A").code, ShouldEqual, "bad-session-token")
		So(a.chat("small", "x", "Session-Token", "k9"+token[2:]).code, ShouldEqual, "bad-session-token")
		foreign := a.chat("small", "x", "Session-Token", token, "Authorization", "Bearer audits-key")
		So(foreign.code, ShouldEqual, "bad-session-token")
	})
	runInEnv(t, "an instance that has not seen the session before keeps its version", instance.Options{}, func(env *testEnv) {
		a, b := env.startBothVersions()
		env.publish(fmt.Sprintf(rolloutTicket, 50))
		for range 10 {
			seen := runSession([]*node{a, b}, 4)
			for _, version := range seen {
				So(version, ShouldEqual, seen[0])
			}
		}
		b.kill()
		c := env.node("node-c", "b")
		env.advance(3 * time.Second)
		So(runSession([]*node{a, c}, 2)[0], ShouldNotBeEmpty)
	})
}
