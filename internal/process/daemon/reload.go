package daemon

import (
	"reflect"
	"slices"

	"github.com/daisygate/daisygate/internal/process/settings"
)

// Reload applies changed settings without interrupting requests. New seeds, the sources that
// leaves are retained at, and the backend server that a platform names take effect immediately,
// everything else at the next start.
// Reload logs the changed keys that need a restart.
func (d *Daemon) Reload(set settings.Settings, platform Platform) {
	d.setConfiguredServer(platform)
	seeds := d.otherSeeds(set.Seeds)
	d.mesh.SetSeeds(seeds)
	d.learnSources(set.Source.Members)
	d.log.Info("settings reloaded", "seeds", seeds, "beside", *d.configuredServer.Load(), "wait_for_restart", changedKeys(d.settings, set))
}

// changedKeys returns the top-level keys other than "seeds" that differ between a and b.
func changedKeys(a, b settings.Settings) []string {
	var keys []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		key := x.Type().Field(i).Tag.Get("yaml")
		if key != "seeds" && !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
