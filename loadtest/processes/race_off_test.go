//go:build !race

package processes

const raced = false
