package cascade

import "foxtailbridge/policy/clock"

// SizeClass is the size of a prompt relative to its route's mean.
type SizeClass string

// Size classes.
const (
	SizeShort  SizeClass = "short"
	SizeMiddle SizeClass = "middle"
	SizeLong   SizeClass = "long"
)

const (
	// shortShare and longShare are the parts of a route's mean prompt below and above which a
	// prompt is short and long.
	shortShare = 0.5
	longShare  = 1.5
)

// SizeClassOf returns the size class of a prompt of a route with the given mean.
func SizeClassOf(promptTokens, mean float64) SizeClass {
	switch {
	case promptTokens < shortShare*mean:
		return SizeShort
	case promptTokens > longShare*mean:
		return SizeLong
	}
	return SizeMiddle
}

// Bands is the number of bands of confidence by which answers are counted.
const Bands = 4

var (
	// bandLimits holds the confidence below which each band but the last ends: most poor answers
	// lie below 40, those that are as likely poor as good around 45, hardly any poor above 60.
	bandLimits = [Bands - 1]Confidence{40, 55, 70}
	// bandMiddles holds the confidence that stands for each band.
	bandMiddles = [Bands]Confidence{31, 47, 62, 80}
)

// Answers is the number of a model's answers on a route, for prompts of one size class, by band of
// confidence. It is fractional, as older answers have less weight.
type Answers [Bands]float64

// Band returns the index of a confidence in Answers.
func (c Confidence) Band() int {
	for i, limit := range bandLimits {
		if c < limit {
			return i
		}
	}
	return Bands - 1
}

// Total returns the number of answers.
func (a Answers) Total() float64 {
	sum := 0.0
	for _, n := range a {
		sum += n
	}
	return sum
}

// PoorShare returns the expected share of poor answers, or 0 if there are none.
func (a Answers) PoorShare() float64 {
	poor := 0.0
	for i, n := range a {
		poor += n * bandMiddles[i].PoorProbability()
	}
	return poor / max(1, a.Total())
}

// Add returns the sum of both.
func (a Answers) Add(other Answers) Answers {
	for i, n := range other {
		a[i] += n
	}
	return a
}

// answersDecay is the time constant with which answers lose weight: those of an earlier release
// must be gone within seconds, and all instances of a fleet together see hundreds in this time.
const answersDecay = 8 * clock.Second

// RecentAnswers counts the answers of the last seconds. It is not safe for concurrent use.
type RecentAnswers struct {
	answers   Answers
	updatedAt clock.Millis
}

// Record counts an answer.
func (r *RecentAnswers) Record(c Confidence, now clock.Millis) {
	r.decay(now)
	r.answers[c.Band()]++
}

// At returns the answers with their weights at now.
func (r *RecentAnswers) At(now clock.Millis) Answers {
	r.decay(now)
	return r.answers
}

func (r *RecentAnswers) decay(now clock.Millis) {
	factor := decayFactor(now-r.updatedAt, answersDecay)
	for i := range r.answers {
		r.answers[i] *= factor
	}
	r.updatedAt = max(r.updatedAt, now)
}

// reportUnits is the number of units of a reported answer: the answers of one instance in a band
// are few, and rounding them to whole ones would lose them.
const reportUnits = 4

// Report returns the answers as whole numbers for other instances, none above the limit. If there
// are more, all bands are scaled down, so that their shares stay.
func (a Answers) Report(limit int) [Bands]int {
	scale := float64(reportUnits)
	if total := a.Total(); total*scale > float64(limit) {
		scale = float64(limit) / total
	}
	var units [Bands]int
	for i, n := range a {
		units[i] = int(n*scale + 0.5)
	}
	return units
}

// AnswersReported returns the answers that other instances reported.
func AnswersReported(units [Bands]int) (a Answers) {
	for i, n := range units {
		a[i] = float64(max(0, n)) / reportUnits
	}
	return a
}
