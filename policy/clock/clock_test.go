package clock

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestVirtual(t *testing.T) {
	Convey("A virtual clock moves only when advanced", t, func() {
		v := NewVirtual(5 * Second)
		c := v.Clock()
		So(c.Wall(), ShouldEqual, 5*Second)
		So(c.Sleep(context.Background(), Minute), ShouldBeNil)
		So(c.Mono(), ShouldEqual, Minute+5*Second)
	})
	Convey("Sleep of the system clock returns when its context is canceled", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(New().Sleep(ctx, Hour), ShouldEqual, context.Canceled)
	})
}
