package session

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/fault"
)

func TestTokens(t *testing.T) {
	older := Key{ID: "k1", Secret: []byte("older")}
	newer := Key{ID: "k2", Secret: []byte("newer")}
	pin := Pin{Session: "s", Workspace: "desk", Version: "m@1", TicketNumber: 3}
	sign := func(keys ...Key) string {
		signer, err := NewSigner(keys...)
		So(err, ShouldBeNil)
		token, err := signer.Sign(pin)
		So(err, ShouldBeNil)
		return token
	}
	kindOf := func(token string, keys ...Key) Kind {
		signer, err := NewSigner(keys...)
		So(err, ShouldBeNil)
		_, err = signer.Verify(token, "desk")
		return fault.KindOf[Kind](err)
	}
	Convey("A token survives the rotation of keys, until its key is dropped", t, func() {
		token := sign(older)
		So(kindOf(token, older, newer), ShouldEqual, Kind(""))
		So(kindOf(token, newer, older), ShouldEqual, Kind(""))
		So(kindOf(token, newer), ShouldEqual, KindUnknownKey)
	})
	Convey("Changed and foreign tokens are refused", t, func() {
		token := sign(older)
		So(kindOf(token[:len(token)-2]+"AA", older), ShouldEqual, KindBadSignature)
		So(kindOf("x", older), ShouldEqual, KindMalformed)
		So(kindOf("k1.!.!", older), ShouldEqual, KindMalformed)
		signer, err := NewSigner(older)
		So(err, ShouldBeNil)
		_, err = signer.Verify(token, "audits")
		So(fault.KindOf[Kind](err), ShouldEqual, KindWrongWorkspace)
	})
	Convey("A signer needs a key", t, func() {
		_, err := NewSigner()
		So(fault.KindOf[Kind](err), ShouldEqual, KindNoKey)
	})
}
