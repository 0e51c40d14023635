package transaction

import (
	"strconv"
	"strings"
)

// maxLoadValue is beyond any figure that a backend has reason to report.
const maxLoadValue = 1e10

// ParseLoadReport reads a load report: name=value parts, separated by commas. It returns nil if there is none, if a
// part cannot be read, or if a value is negative or not plausible.
func ParseLoadReport(text string) map[string]float64 {
	if text == "" {
		return nil
	}
	load := map[string]float64{}
	for _, part := range strings.Split(text, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || !(value >= 0 && value < maxLoadValue) {
			return nil
		}
		load[name] = value
	}
	return load
}
