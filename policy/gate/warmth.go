package gate

// BootID identifies one run of an endpoint's process.
type BootID string

// WarmupState is what an instance knows of an endpoint's cold start. An endpoint is
// cold until seen warm, and any evidence of a restart makes it cold again.
type WarmupState struct {
	boot BootID
	warm bool
}

// Warm reports whether the endpoint may get full load.
func (w *WarmupState) Warm() bool {
	return w.warm
}

// Boot returns the process run that was last seen.
func (w *WarmupState) Boot() BootID {
	return w.boot
}

// ApplyReport takes a load report and returns whether the warmth changed.
func (w *WarmupState) ApplyReport(boot BootID, warm bool) bool {
	changed := w.warm != warm
	w.boot = boot
	w.warm = warm
	return changed
}

// ObserveBoot takes the boot id that came with an answer; an unknown one means cold.
func (w *WarmupState) ObserveBoot(boot BootID) bool {
	if boot == "" || boot == w.boot {
		return false
	}
	changed := w.warm
	w.boot = boot
	w.warm = false
	return changed
}

// MarkCold notes a refused or broken connection, or a jump in first-token time.
func (w *WarmupState) MarkCold() bool {
	changed := w.warm
	w.warm = false
	return changed
}
