package registry

import "testing"

// TestOlderListing guards against a removal that is undone by a full listing older than the one that
// was merged before (DRAIN): a starting instance lists the store, and its first exchange is answered by
// a peer that has not read the removal yet.
func TestOlderListing(t *testing.T) {
	rows := []struct {
		name string
		// tell is called after instance 0 has listed the store without "a", which instance 1 still knows.
		tell func(f *fleet)
		// instance is the one whose view is checked.
		instance int
		want     string
	}{
		{"the starting instance hears of the endpoint", func(f *fleet) { f.sendAll(1, 0) }, 0, "b"},
		{"it hears of it twice", func(f *fleet) { f.sendAll(1, 0); f.sendAll(1, 0) }, 0, "b"},
		{"it tells the others", func(f *fleet) { f.sendAll(1, 0); f.send(0, 1); f.read(1) }, 1, "b"},
		{"it tells another that starts", func(f *fleet) { f.sendAll(1, 0); f.sendAll(0, 2) }, 2, "b"},
		{"another one hears the older listing first", func(f *fleet) { f.sendAll(1, 2); f.sendAll(0, 2); f.sendAll(1, 2) }, 2, "b"},
		{"the endpoint comes back", func(f *fleet) {
			f.sendAll(1, 0)
			f.write("a", "2 1 ready")
			f.read(0)
			f.sendAll(1, 0)
		}, 0, "a b"},
		{"the other one has read more", func(f *fleet) {
			f.write("a", "2 1 ready")
			f.read(1)
			f.sendAll(1, 0)
		}, 0, "a b"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(3)
			f.write("a", "1 1 ready")
			f.write("b", "1 1 ready")
			f.list(1)
			f.write("a", "")
			f.list(0)
			row.tell(f)
			if got := f.instances[row.instance].endpointIDs(); got != row.want {
				t.Errorf("instance %d uses %q, want %q", row.instance, got, row.want)
			}
		})
	}
}

// sendAll makes one instance answer another that has not said what it has.
func (f *fleet) sendAll(from, to int) {
	for _, b := range f.instances[from].Since(nil, nil) {
		f.instances[to].Merge(b)
	}
}
