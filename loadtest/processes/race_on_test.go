//go:build race

package processes

// raceEnabled reports whether this test is built with the race detector; the programs under test
// are then built with it too.
const raceEnabled = true
