package route

// Highest returns the candidate with the highest score; ties go to the first.
func Highest(candidates []*Candidate, scores []float64) *Candidate {
	best := 0
	for i := range scores {
		if scores[i] > scores[best] {
			best = i
		}
	}
	return candidates[best]
}
