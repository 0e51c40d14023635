package transaction

import (
	"strconv"
	"strings"
)

// maxLoadValue is larger than any plausible value in a load report.
const maxLoadValue = 1e10

// ParseLoadReport parses a load report, a comma-separated list of name=value pairs. It returns nil if the report is
// empty or malformed, or if a value is negative or not below maxLoadValue.
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
