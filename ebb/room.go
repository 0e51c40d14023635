package ebb

import (
	"fmt"
	"math"
	"sort"
	"strings"
)

// Load is what one kind of traffic asks of a service, as one node sees it; loads of several nodes are added up.
//
//easyjson:json
type Load struct {
	Service string  `json:"s"`
	Homes   string  `json:"h,omitempty"` // the regions in which it may be served, sorted, with commas; empty: anywhere
	Rate    float64 `json:"r"`           // requests a second
	Work    float64 `json:"w"`           // seconds that an answer takes
}

// Spot is an appliance as room is reckoned with it.
type Spot struct {
	ID, Service, Zone, Region string
	Slots                     int
	Serves                    bool    // it gets new work, and is not about to go
	ColdRate                  float64 // requests a second while it is cold; 0: it is warm
}

// Short is a lack of room.
//
//easyjson:json
type Short struct {
	Service string  `json:"service"`
	Homes   string  `json:"homes,omitempty"`
	Need    float64 `json:"need"`   // slots at work
	Have    float64 `json:"have"`   // slots that would be left
	Before  float64 `json:"before"` // slots now
}

func (s Short) String() string {
	where := ""
	if s.Homes != "" {
		where = " in " + s.Homes
	}
	return fmt.Sprintf("%s%s: %.1f slots are at work, %.1f would be left of %.1f", s.Service, where, s.Need, s.Have, s.Before)
}

// spread is how many standard deviations of the work at one moment (which is about Poisson's: the root of its mean) have to
// be left over. By the square-root rule of staffing half of one lets about every second request find a free slot at once.
const spread = 0.5

// Room says for which services, and where, a removal would leave too few slots: by Little's law the load keeps rate x work
// of them busy. Spots that are given as not serving are not counted, so that removals under way add up; leaving names what
// would go besides. A service that has no load and keeps no appliance is short too, unless it had none. What was short
// before, and of which nothing goes, is not held against the removal.
func Room(loads []Load, spots []Spot, leaving func(Spot) bool) []Short {
	type part struct{ service, homes string }
	need := map[part]float64{}
	work := map[string][2]float64{} // by service: seconds of work a second, and requests
	for _, l := range loads {
		need[part{l.Service, l.Homes}] += l.Rate * l.Work
		w := work[l.Service]
		work[l.Service] = [2]float64{w[0] + l.Rate*l.Work, w[1] + l.Rate}
	}
	for _, s := range spots {
		if _, ok := need[part{s.Service, ""}]; !ok {
			need[part{s.Service, ""}] = 0
		}
	}
	var out []Short
	for p := range need {
		x := Short{Service: p.service, Homes: p.homes}
		for q, n := range need { // all that has to be served within these homes
			if q.service == p.service && (p.homes == "" || q.homes != "" && within(q.homes, p.homes)) {
				x.Need += n
			}
		}
		going := false
		for _, s := range spots {
			if s.Service != p.service || !s.Serves || p.homes != "" && !within(s.Region, p.homes) {
				continue
			}
			slots := float64(s.Slots)
			if s.ColdRate > 0 {
				mean := 0.0
				if w := work[p.service]; w[1] > 0 {
					mean = w[0] / w[1]
				}
				slots = math.Min(slots, s.ColdRate*mean)
			}
			x.Before += slots
			if leaving(s) {
				going = true
			} else {
				x.Have += slots
			}
		}
		if going && (x.Need+spread*math.Sqrt(x.Need) > x.Have || x.Have == 0) {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Service < out[j].Service || out[i].Service == out[j].Service && out[i].Homes < out[j].Homes
	})
	return out
}

// within tells whether all regions of one list stand in another.
func within(part, whole string) bool {
	for _, r := range strings.Split(part, ",") {
		if !strings.Contains(","+whole+",", ","+r+",") {
			return false
		}
	}
	return true
}
