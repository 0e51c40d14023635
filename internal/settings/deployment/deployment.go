// Package deployment translates the settings of a deployment, a JSON object that the platform writes, into the
// parameters of the agent's policy: a flat map of names to values. Both the agent and the simulator's adapter receive
// this object and use this package.
package deployment

import (
	"encoding/json"
	"math"
	"strings"
	"time"
)

// Parse translates the settings. It ignores unknown fields, and fields whose value has an unexpected type.
//
// The values have the types bool, float64, string, []float64, []string and time.Duration. Besides the parameters of
// the tables in parameters.go, "workloads" and "customers" hold the names of all workloads and tenants as a []string.
func Parse(text []byte) (map[string]any, error) {
	var settings map[string]any
	if err := json.Unmarshal(text, &settings); err != nil {
		return nil, err
	}
	result := map[string]any{}
	for path, parameter := range parameters {
		put(result, parameter.name, parameter, lookup(settings, path))
	}
	result["workloads"] = putNamed(result, "workload.", workloadParameters, settings["classes"])
	result["customers"] = putNamed(result, "customer.", tenantParameters, settings["orgs"])
	return result, nil
}

// lookup returns the value at a path of field names that are joined by dots, or nil if there is none.
func lookup(settings map[string]any, path string) any {
	var value any = settings
	for field := range strings.SplitSeq(path, ".") {
		object, _ := value.(map[string]any)
		value = object[field]
	}
	return value
}

// putNamed puts the parameters of a list of named objects, and returns the names in the order of the list.
func putNamed(result map[string]any, prefix string, parameters map[string]parameter, list any) (names []string) {
	objects, _ := list.([]any)
	for _, entry := range objects {
		object, _ := entry.(map[string]any)
		name, _ := object["name"].(string)
		names = append(names, name)
		for field, parameter := range parameters {
			put(result, prefix+name+"."+parameter.name, parameter, object[field])
		}
	}
	return names
}

// put stores a value of the settings under the policy's name. It ignores nil and values of types that Parse does not
// support.
func put(result map[string]any, name string, kind parameter, value any) {
	switch value := value.(type) {
	case float64:
		if kind.milliseconds {
			result[name] = FromMilliseconds(value)
		} else {
			result[name] = value
		}
	case bool:
		result[name] = value
	case string:
		result[name] = translate(value)
	case []any:
		result[name] = listOf(value)
	}
}

// translate returns the policy's name for an enumerated value of the settings.
func translate(value string) string {
	if translated, found := enumValues[value]; found {
		return translated
	}
	return value
}

// listOf returns the numbers of a list as a []float64, or its strings as a []string if it has no numbers.
func listOf(values []any) any {
	var numbers []float64
	var texts []string
	for _, value := range values {
		switch value := value.(type) {
		case float64:
			numbers = append(numbers, value)
		case string:
			texts = append(texts, value)
		}
	}
	if numbers != nil {
		return numbers
	}
	return texts
}

// microsecondsPerMillisecond converts milliseconds to microseconds.
const microsecondsPerMillisecond = 1000

// FromMilliseconds converts a number of milliseconds, the platform's unit of time, and rounds it to microseconds.
func FromMilliseconds(milliseconds float64) time.Duration {
	return time.Duration(math.Round(milliseconds*microsecondsPerMillisecond)) * time.Microsecond
}
