package route

// Highest takes the candidate with the highest score, the first of equals.
func Highest(candidates []*Candidate, scores []float64) *Candidate {
	best := 0
	for i := range scores {
		if scores[i] > scores[best] {
			best = i
		}
	}
	return candidates[best]
}
