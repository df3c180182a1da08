//go:build race

package processes

// raced is true if the race detector watches this test; it then watches the
// programs too.
const raced = true
