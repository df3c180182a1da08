package cascade

import (
	"foxtailbridge/policy/clock"
)

// Confidence is a model's own opinion of its answer, 0 to 100.
type Confidence int

// ConfidenceUnknown stands for an answer that came without an opinion.
const ConfidenceUnknown Confidence = -1

// Doubt asks whether an answer should be made again by a larger model.
type Doubt struct {
	Confidence Confidence
	// Fill is the occupied share of the endpoints that could run it, 0 to 1 and above.
	Fill float64
	// Left is the time until the answer counts as late.
	Left clock.Millis
	// Expected is the time that the larger model takes to its first token.
	Expected clock.Millis
}

const (
	// calmThreshold is the confidence below which an answer is made again while
	// the endpoints have room.
	calmThreshold = 64
	// fullThreshold is the same when they are full.
	fullThreshold = 22
	// calmFill and busyFill are the fills between which the threshold falls.
	calmFill = 0.45
	busyFill = 1.0
)

// Threshold returns the confidence below which an answer is made again.
func Threshold(fill float64) Confidence {
	part := min(1, max(0, (fill-calmFill)/(busyFill-calmFill)))
	return Confidence(calmThreshold - part*(calmThreshold-fullThreshold))
}

// Escalate reports whether a larger model should answer instead.
func (d Doubt) Escalate() bool {
	if d.Confidence == ConfidenceUnknown || d.Left < d.Expected {
		return false
	}
	return d.Confidence < Threshold(d.Fill)
}
