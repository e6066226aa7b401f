package placement

const (
	// fitMemory is the number of recent samples that a lineFit weighs most.
	fitMemory = 64
	// minFitSamples is the number of samples from which on the line tells high samples from low ones.
	minFitSamples = 6
	// maxSampleRatio bounds a sample relative to the line, so that one frozen engine does not spoil the fit.
	maxSampleRatio = 4
	// absurdRatio is from which excess of the expected over the observed duration on the number of tokens is taken for wrong: callers state
	// it. Prompts that were cached without this entry's knowledge take less time than expected too, but not that much less.
	absurdRatio = 32
	// absurdSampleRatio is how much of the excess is left by reducing the number of tokens. It is above 1, so that a line that is far too
	// high falls.
	absurdSampleRatio = 2
	// slopePrior is the weight of a line through the origin, relative to the squared mean size. Sizes that hardly differ do not
	// tell the slope.
	slopePrior = 0.01
)

// lineFit is a weighted least-squares fit of durations in milliseconds over the number of computed prompt tokens. Samples
// fade with the number of later ones. The zero value has no samples.
type lineFit struct {
	weight, x, xx, y, xy float64 // weighted sums
	priorSlope           float64 // milliseconds per token while there are no samples
}

// line returns the fitted intercept and slope; neither is negative.
func (f *lineFit) line() (intercept, slope float64) {
	if f.weight == 0 {
		return 0, f.priorSlope
	}
	meanX, meanY := f.x/f.weight, f.y/f.weight
	variance := f.xx/f.weight - meanX*meanX
	prior := slopePrior*meanX*meanX + 1
	covariance := f.xy/f.weight - meanX*meanY
	slope = (covariance + prior*meanY/max(1, meanX)) / (variance + prior)
	slope = min(max(0, slope), meanY/max(1, meanX))
	return meanY - slope*meanX, slope
}

// estimate returns the expected duration in milliseconds for a number of tokens.
func (f *lineFit) estimate(tokens float64) float64 {
	intercept, slope := f.line()
	return intercept + slope*tokens
}

// known returns the estimate, or 0 if there are too few samples to compare another one with.
func (f *lineFit) known(tokens float64) float64 {
	if f.weight < minFitSamples {
		return 0
	}
	return f.estimate(tokens)
}

// observe adds a sample. highWeight is the weight of samples above the line.
func (f *lineFit) observe(tokens, ms, highWeight float64) {
	w := 1.0
	if f.weight >= minFitSamples {
		expected := f.estimate(tokens)
		if intercept, slope := f.line(); slope > 0 && expected > absurdRatio*ms {
			tokens = max(0, absurdSampleRatio*ms-intercept) / slope
			expected = f.estimate(tokens)
		}
		ms = min(ms, maxSampleRatio*expected+1)
		if ms > expected {
			w = highWeight
		}
	}
	keep := 1 - w/fitMemory
	f.weight = keep*f.weight + w
	f.x = keep*f.x + w*tokens
	f.xx = keep*f.xx + w*tokens*tokens
	f.y = keep*f.y + w*ms
	f.xy = keep*f.xy + w*tokens*ms
}
