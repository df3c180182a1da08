package gate

// BootID identifies one run of an endpoint's process.
type BootID string

// Warmth is what an instance knows of an endpoint's cold start. An endpoint is
// cold until seen warm, and any evidence of a restart makes it cold again.
type Warmth struct {
	boot BootID
	warm bool
}

// Warm reports whether the endpoint may get full load.
func (w *Warmth) Warm() bool {
	return w.warm
}

// Boot returns the process run that was last seen.
func (w *Warmth) Boot() BootID {
	return w.boot
}

// Report takes a load report and returns whether the warmth changed.
func (w *Warmth) Report(boot BootID, warm bool) bool {
	changed := w.warm != warm
	w.boot = boot
	w.warm = warm
	return changed
}

// See takes the boot id that came with an answer; an unknown one means cold.
func (w *Warmth) See(boot BootID) bool {
	if boot == "" || boot == w.boot {
		return false
	}
	changed := w.warm
	w.boot = boot
	w.warm = false
	return changed
}

// Break notes a refused or broken connection, or a jump in first-token time.
func (w *Warmth) Break() bool {
	changed := w.warm
	w.warm = false
	return changed
}
