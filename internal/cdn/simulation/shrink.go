package simulation

import "slices"

// Shrink looks for a smaller set of faults with which a failed run still fails, by leaving out ever smaller groups of them.
func Shrink(o Options, failed Result) Result {
	best := failed
	for size := len(best.Faults) / 2; size > 0; {
		shrunk := false
		for from := 0; from < len(best.Faults); from += size {
			o.Faults = slices.Concat(best.Faults[:from], best.Faults[min(from+size, len(best.Faults)):])
			if len(o.Faults) == 0 {
				o.Faults = []Fault{}
			}
			if r := Run(o); r.Failure != "" {
				best, shrunk = r, true
				break
			}
		}
		if !shrunk {
			size /= 2
		}
		size = min(size, len(best.Faults))
	}
	return best
}
