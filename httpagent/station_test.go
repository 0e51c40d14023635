package httpagent

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestStations(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","known":null,
		"settings":{"classes":[{"name":"c"}],"strange":1},"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"more":[]}`
	for change, want := range map[string]string{
		"": "", `"listen":"127.0.0.1:1"=>"listen":"x"`: "listen is no address", `"8c1=>"zz`: "seed", `{"name"=>{{`: "invalid",
		`[{"name":"c"}]=>[]`: "no workload", `"known":null=>"known":{"generation":1,"instances":[{}]}`: "known:",
		`"settings"=>"settling"`: "settings are missing", `"cores":1.0=>"cores":-1`: "limits",
	} {
		from, to, _ := strings.Cut(change, "=>")
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(strings.Replace(good, from, to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		station, err := ReadStation(file)
		if want == "" && (err != nil || uint64(station.Seed) != 0x8c1f30d27a5be964 || station.Limits.Sockets != 1024) {
			t.Errorf("%v, %+v", err, station)
		} else if want != "" && (err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: %v, want %q", change, err, want)
		}
	}
}
