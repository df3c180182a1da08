package gate

// BootID identifies one start of an endpoint's process.
type BootID string

// WarmupState tracks whether an endpoint has finished its cold start. An endpoint
// is cold until it reports to be warm, and any sign of a restart makes it cold again.
type WarmupState struct {
	boot BootID
	warm bool
}

// Warm reports whether the endpoint may receive full load.
func (w *WarmupState) Warm() bool {
	return w.warm
}

// Boot returns the boot id that was last observed.
func (w *WarmupState) Boot() BootID {
	return w.boot
}

// ApplyReport applies a load report and returns whether the endpoint changed
// between cold and warm.
func (w *WarmupState) ApplyReport(boot BootID, warm bool) bool {
	changed := w.warm != warm
	w.boot = boot
	w.warm = warm
	return changed
}

// ObserveBoot applies the boot id that came with a response and returns whether
// the endpoint became cold. A new boot id means that the endpoint has restarted.
func (w *WarmupState) ObserveBoot(boot BootID) bool {
	if boot == "" || boot == w.boot {
		return false
	}
	changed := w.warm
	w.boot = boot
	w.warm = false
	return changed
}

// MarkCold marks the endpoint cold, after a refused or broken connection or a
// sudden rise in time to first token. It returns whether the endpoint was warm.
func (w *WarmupState) MarkCold() bool {
	changed := w.warm
	w.warm = false
	return changed
}
